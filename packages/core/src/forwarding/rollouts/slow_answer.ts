/** The time of an answer, or of one that was given up, and the expected one. */
export interface AnswerTime {
  readonly elapsedMs: number;
  readonly expectedMs: number;
}

const SLOW_FACTOR = 2.5;
/** Connects and crossings of failure domains take some milliseconds more. */
const SLOW_EXCESS_MS = 15;

/**
 * True for an answer that takes far longer than expected, which few answers of a
 * sound version do.
 *
 * @example
 * ```ts
 * isSlowAnswer({elapsedMs: 120, expectedMs: 40}); // true
 * isSlowAnswer({elapsedMs: 12, expectedMs: 4}); // false
 * ```
 */
export function isSlowAnswer({elapsedMs, expectedMs}: AnswerTime): boolean {
  return elapsedMs > SLOW_FACTOR * expectedMs + SLOW_EXCESS_MS;
}
