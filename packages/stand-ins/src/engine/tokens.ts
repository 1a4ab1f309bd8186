import {createHash} from 'node:crypto';

/**
 * The fields from which an engine stand-in derives its tokens. The attempt
 * number at the end of the request id, such as `.1` in `r-7.1`, is ignored, so
 * that a resumed answer continues with the tokens of its first attempt.
 */
export interface TokenSource {
  readonly requestId: string;
  readonly prompt: string;
  readonly model: string;
  readonly version: string;
}

const SEED_LENGTH = 10;
const ATTEMPT_SUFFIX = /\.\d+$/;
const CHARACTERS_PER_TOKEN = 4;

/** Creates a function that returns the text of a token by its index. */
export function createTokenFormatter(
  source: TokenSource,
): (index: number) => string {
  const {prompt, model, version} = source;
  const requestId = source.requestId.replace(ATTEMPT_SUFFIX, '');
  const seed = createHash('sha256')
    .update(JSON.stringify([requestId, prompt, model, version]))
    .digest('hex')
    .slice(0, SEED_LENGTH);
  return index => `${seed}.${index} `;
}

/**
 * Lists the tokens that an engine stand-in generates for a request, so that a
 * test can detect a truncated answer or one that belongs to another request.
 *
 * @example
 * ```ts
 * expectedTokens(
 *   {requestId: 'r-1', prompt: 'hi', model: 'quick', version: 'v1'},
 *   3,
 * );
 * ```
 */
export function expectedTokens(
  source: TokenSource,
  maxTokens: number,
): readonly string[] {
  const formatToken = createTokenFormatter(source);
  return Array.from({length: maxTokens}, (_, index) => formatToken(index));
}

/** Counts the tokens of a prompt: one for every four characters, rounded up. */
export function countPromptTokens(prompt: string): number {
  return Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
}
