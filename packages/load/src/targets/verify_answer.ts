import {expectedTokens, type TokenSource} from '@anvilrudder/stand-ins';
import type {Verdict} from './target.js';

/**
 * Judges an answer of stand-in engines, whose tokens follow from the request.
 *
 * @example
 * ```ts
 * verifyAnswer(source, 2, expectedTokens(source, 2)); // 'whole'
 * ```
 */
export function verifyAnswer(
  source: TokenSource,
  maxTokens: number,
  texts: readonly string[],
): Verdict {
  const expected = expectedTokens(source, maxTokens);
  if (texts.some((text, index) => text !== expected[index])) return 'foreign';
  return texts.length === expected.length ? 'whole' : 'incomplete';
}
