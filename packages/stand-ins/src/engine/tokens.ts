import {createHash} from 'node:crypto';

/**
 * What the tokens of a stand-in engine depend on. The number of an attempt,
 * the `.1` of `r-7.1`, does not count, so that a resumed answer goes on with
 * the tokens of its first attempt.
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

/** Creates the function that gives the text of each token of one answer. */
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
 * Lists the tokens that a stand-in engine generates for a request, so that a
 * test can tell a whole answer from a short or foreign one.
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

/** Number of tokens that a stand-in engine counts for a prompt. */
export function countPromptTokens(prompt: string): number {
  return Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
}
