import {expectedTokens, type TokenSource} from '@anvilrudder/stand-ins';
import type {Verdict} from './target.js';

/**
 * Checks the tokens of a response against those that a stand-in engine
 * generates for the request, which are deterministic.
 *
 * @example
 * ```ts
 * verifyResponse(source, 2, expectedTokens(source, 2)); // 'whole'
 * ```
 */
export function verifyResponse(
  source: TokenSource,
  maxTokens: number,
  texts: readonly string[],
): Verdict {
  const expected = expectedTokens(source, maxTokens);
  if (texts.some((text, index) => text !== expected[index])) return 'foreign';
  return texts.length === expected.length ? 'whole' : 'incomplete';
}
