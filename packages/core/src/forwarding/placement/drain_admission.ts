import type {DurationEstimate} from '../servers/duration_estimator.js';

/** What is known of a request that arrives while its host drains. */
export interface DrainingRequest {
  /** Time until the host cuts what is still in progress. */
  readonly leftMs: number;
  /** Time after which the request ends in any case. */
  readonly limitMs: number;
  /** Duration of such requests; undefined if there was none so far. */
  readonly expected: DurationEstimate | undefined;
}

/** Requests of equal length take less than this multiple of the mean duration. */
const DURATION_MARGIN = 1.5;
/** Nearly all requests are less than this multiple of the deviation above the mean. */
const DEVIATION_MARGIN = 4;

/**
 * Decides whether a host that drains can serve a request whole. A request of
 * unknown duration, such as a stream whose length nobody states, is assumed to
 * take all the time that it may.
 *
 * @returns false if the request would be cut; it should go to another host.
 * @example
 * ```ts
 * const expected = {meanMs: 900, deviationMs: 100};
 * canServeInDrain({leftMs: 3000, limitMs: 12_000, expected}); // true
 * canServeInDrain({leftMs: 3000, limitMs: 12_000, expected: undefined}); // false
 * ```
 */
export function canServeInDrain({
  leftMs,
  limitMs,
  expected,
}: DrainingRequest): boolean {
  return Math.min(limitMs, estimateLongestMs(expected)) <= leftMs;
}

function estimateLongestMs(expected: DurationEstimate | undefined): number {
  if (expected === undefined) return Infinity;
  const {meanMs, deviationMs} = expected;
  return Math.max(
    DURATION_MARGIN * meanMs,
    meanMs + DEVIATION_MARGIN * deviationMs,
  );
}
