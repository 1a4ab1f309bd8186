/** What is known of a request that arrives while its host drains. */
export interface DrainingRequest {
  /** Time until the host cuts what is still in progress. */
  readonly leftMs: number;
  /** Time after which the request ends in any case. */
  readonly limitMs: number;
  /** Mean duration of such requests; undefined if there was none so far. */
  readonly expectedMs: number | undefined;
}

/** Most requests take less than this multiple of the mean duration. */
const DURATION_MARGIN = 1.5;

/**
 * Decides whether a host that drains can serve a request whole. A request of
 * unknown duration, such as a stream whose length nobody states, is assumed to
 * take all the time that it may.
 *
 * @returns false if the request would be cut; it should go to another host.
 * @example
 * ```ts
 * canServeInDrain({leftMs: 3000, limitMs: 12_000, expectedMs: 900}); // true
 * canServeInDrain({leftMs: 3000, limitMs: 12_000, expectedMs: undefined}); // false
 * ```
 */
export function canServeInDrain({
  leftMs,
  limitMs,
  expectedMs = Infinity,
}: DrainingRequest): boolean {
  return Math.min(limitMs, DURATION_MARGIN * expectedMs) <= leftMs;
}
