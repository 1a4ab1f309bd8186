/** Returns random numbers in [0, 1); tests pass a seeded source. */
export type RandomSource = () => number;

/** Bounds of an exponential backoff. */
export interface BackoffOptions {
  /** Upper bound of the first delay, in milliseconds. */
  readonly baseMs: number;
  /** Upper bound of every delay, in milliseconds. */
  readonly maxMs: number;
}

/**
 * Computes the delay before a retry in milliseconds: uniform between 0 and an
 * upper bound that doubles with each attempt (full jitter).
 *
 * @param attempt number of the failed attempt, counted from 0.
 * @example
 * ```ts
 * computeBackoffMs(2, {baseMs: 50, maxMs: 2000}, Math.random); // below 200
 * ```
 */
export function computeBackoffMs(
  attempt: number,
  options: BackoffOptions,
  random: RandomSource,
): number {
  const boundMs = Math.min(options.maxMs, options.baseMs * 2 ** attempt);
  return random() * boundMs;
}
