import type {RuleSet} from '@anvilrudder/core';
import {
  applyLineDelta,
  createLineDelta,
  decodeDigest,
  encodeDigest,
  type FetchContentRequest,
  type FetchContentResponse,
} from '@anvilrudder/peers';
import {createHash} from 'node:crypto';
import type {HeadStore} from './head_store.js';
import type {ParsedRules} from './keeper_options.js';

/** Prefix of the objects that hold rule files by digest. */
export const CONTENT_PREFIX = 'rules/content';

/** Characters a chunk; UTF-8 takes at most three bytes for each. */
const CHUNK_LENGTH = 300_000;
const CHUNK_NUMBER_DIGITS = 4;
const MAX_UNNEEDED_CONTENTS = 4;

/** A rule file and what it says. */
export interface LoadedContent {
  readonly digest: string;
  readonly text: string;
  readonly rules: RuleSet;
}

/** Keeps the rule files that this entry needs, by digest. */
export class ContentCache {
  private readonly contents = new Map<string, LoadedContent>();

  private constructor(private readonly parse: (text: string) => ParsedRules) {}

  /**
   * Creates an empty cache.
   *
   * @example
   * ```ts
   * ContentCache.create(parseRules).add(text)?.digest;
   * ```
   */
  static create(parse: (text: string) => ParsedRules): ContentCache {
    return new ContentCache(parse);
  }

  get(digest: string): LoadedContent | undefined {
    return this.contents.get(digest);
  }

  /** Digests of the texts that are kept, newest last. */
  listDigests(): readonly string[] {
    return [...this.contents.keys()];
  }

  /** Parses and keeps a text; undefined when it has errors. */
  add(text: string): LoadedContent | undefined {
    const digest = digestText(text);
    const existing = this.contents.get(digest);
    if (existing !== undefined) return existing;
    const {rules} = this.parse(text);
    if (rules === undefined) return undefined;
    const content = {digest, text, rules};
    this.contents.set(digest, content);
    return content;
  }

  /** Drops the oldest texts that are not needed and returns their digests. */
  evictUnneeded(needed: ReadonlySet<string>): readonly string[] {
    const unneeded = this.listDigests().filter(digest => !needed.has(digest));
    const evicted = unneeded.slice(0, -MAX_UNNEEDED_CONTENTS);
    for (const digest of evicted) this.contents.delete(digest);
    return evicted;
  }

  /** Answers a peer's call for a text; undefined when it is not kept. */
  answerFetch(
    request: FetchContentRequest,
  ): FetchContentResponse['content'] | undefined {
    const content = this.contents.get(decodeDigest(request.digest));
    if (content === undefined) return undefined;
    const base = request.baseDigests
      .map(bytes => this.contents.get(decodeDigest(bytes)))
      .findLast(candidate => candidate !== undefined);
    if (base === undefined) return {case: 'text', value: content.text};
    const delta = createLineDelta(base.text, content.text);
    return {
      case: 'delta',
      value: {
        $typeName: 'anvilrudder.v1.ContentDelta',
        baseDigest: encodeDigest(base.digest),
        ...delta,
      },
    };
  }

  /** Resolves the text of a peer's answer; undefined when it is not usable. */
  resolveFetchedText(response: FetchContentResponse): string | undefined {
    const {content} = response;
    if (content.case === 'text') return content.value;
    if (content.case === undefined) return undefined;
    const base = this.contents.get(decodeDigest(content.value.baseDigest));
    if (base === undefined) return undefined;
    return applyLineDelta(base.text, content.value);
  }
}

/**
 * Digest of a rule file, in hexadecimal.
 *
 * @example
 * ```ts
 * digestText('').slice(0, 8); // 'e3b0c442'
 * ```
 */
export function digestText(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/**
 * Writes a rule file as chunks below its digest. Repeating it is harmless.
 *
 * @example
 * ```ts
 * await writeContent(headStore, digestText(text), text);
 * ```
 */
export async function writeContent(
  headStore: HeadStore,
  digest: string,
  text: string,
): Promise<void> {
  const chunks = splitChunks(text);
  for (const [index, chunk] of chunks.entries()) {
    const number = String(index).padStart(CHUNK_NUMBER_DIGITS, '0');
    await headStore.putIfAbsent(`${CONTENT_PREFIX}/${digest}/${number}`, chunk);
  }
}

/**
 * Reads a rule file from its chunks.
 *
 * @returns undefined when chunks are missing or damaged.
 * @example
 * ```ts
 * const text = await readContent(headStore, head.rules.digest);
 * ```
 */
export async function readContent(
  headStore: HeadStore,
  digest: string,
): Promise<string | undefined> {
  const chunks = await headStore.listValues(`${CONTENT_PREFIX}/${digest}/`);
  const text = chunks.join('');
  return digestText(text) === digest ? text : undefined;
}

function splitChunks(text: string): readonly string[] {
  const chunks: string[] = [];
  let start = 0;
  do {
    let end = Math.min(text.length, start + CHUNK_LENGTH);
    // A surrogate pair that is split would not survive UTF-8.
    if (end < text.length && isHighSurrogate(text.charCodeAt(end - 1))) {
      end -= 1;
    }
    chunks.push(text.slice(start, end));
    start = end;
  } while (start < text.length);
  return chunks;
}

function isHighSurrogate(code: number): boolean {
  return code >= 0xd800 && code <= 0xdbff;
}
