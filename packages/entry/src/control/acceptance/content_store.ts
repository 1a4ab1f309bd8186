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
import type {ParsedRules} from './rules_manager_options.js';

/** Key prefix of the objects that store rule files by digest. */
export const CONTENT_PREFIX = 'rules/content';

/**
 * Maximum length of a chunk in UTF-16 code units. Each takes at most three
 * bytes in UTF-8, so a chunk has at most 900,000 bytes.
 */
const CHUNK_LENGTH = 300_000;
const CHUNK_NUMBER_DIGITS = 4;
/** Rule files that are no longer needed but kept, as bases of deltas. */
const MAX_UNNEEDED_CONTENTS = 4;

/** The text of a rule file, its digest and its parsed rules. */
export interface LoadedContent {
  readonly digest: string;
  readonly text: string;
  readonly rules: RuleSet;
}

/** Caches parsed rule files by digest. */
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

  /** Lists the digests of the cached rule files, newest last. */
  listDigests(): readonly string[] {
    return [...this.contents.keys()];
  }

  /**
   * Parses a rule file and adds it to the cache.
   *
   * @returns undefined when the file has errors.
   */
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

  /**
   * Evicts the rule files that are not needed, except for the newest few, and
   * returns the digests of the evicted ones.
   */
  evictUnneeded(needed: ReadonlySet<string>): readonly string[] {
    const unneeded = this.listDigests().filter(digest => !needed.has(digest));
    const evicted = unneeded.slice(0, -MAX_UNNEEDED_CONTENTS);
    for (const digest of evicted) this.contents.delete(digest);
    return evicted;
  }

  /**
   * Answers a peer's request for a rule file: with a delta if the peer has a
   * base that is cached here, else with the whole text.
   *
   * @returns undefined when the requested rule file is not cached.
   */
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

  /**
   * Returns the text of a peer's answer, with a delta applied to its base.
   *
   * @returns undefined when the answer is empty, its base is not cached or its
   *   delta cannot be applied.
   */
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
 * Computes the SHA-256 digest of a rule file, in hexadecimal.
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
 * Writes a rule file to the store, as chunks with its digest in their keys.
 * Chunks that exist already are left as they are, so a call can be repeated.
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
 * Reads the chunks of a rule file from the store and joins them.
 *
 * @returns undefined when a chunk is missing or the digest does not match.
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
    // A surrogate pair that is split between chunks cannot be encoded in UTF-8.
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
