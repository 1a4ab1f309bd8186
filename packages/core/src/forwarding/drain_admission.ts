/** What is known of a request that arrives while its host drains. */
export interface DrainingRequest {
  /** Time until the host cuts what is still in progress. */
  readonly leftMs: number;
  /** Time after which the request ends in any case. */
  readonly limitMs: number;
  /** Mean duration of such requests; undefined if there was none so far. */
  readonly expectedMs: number | undefined;
  /** It may run again elsewhere if it is cut. */
  readonly isRetryable: boolean;
}

/**
 * Multiple of the mean duration that a request may take: most take less than the
 * one for requests that can be sent again, nearly all less than the other.
 */
const DURATION_MARGIN = {retryable: 1.5, atMostOnce: 4} as const;

/**
 * Decides whether a host that drains can serve a request whole. A request of
 * unknown duration, such as a stream whose length nobody states, is assumed to
 * take all the time that it may.
 *
 * @returns false if the request would be cut; it should go to another host.
 * @example
 * ```ts
 * canServeInDrain({leftMs: 3000, limitMs: 12_000, expectedMs: 900, isRetryable: true}); // true
 * canServeInDrain({leftMs: 3000, limitMs: 12_000, expectedMs: 900, isRetryable: false}); // false
 * ```
 */
export function canServeInDrain({
  leftMs,
  limitMs,
  expectedMs = Infinity,
  isRetryable,
}: DrainingRequest): boolean {
  const margin = isRetryable
    ? DURATION_MARGIN.retryable
    : DURATION_MARGIN.atMostOnce;
  return Math.min(limitMs, margin * expectedMs) <= leftMs;
}
