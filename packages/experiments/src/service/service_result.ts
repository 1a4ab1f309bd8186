import {computeQuantile} from '@anvilrudder/core';

/** Measurements of a simulation. */
export interface ServiceResult {
  /** Number of answers within their deadline, by the second of completion. */
  readonly goodBySecond: readonly number[];
  /**
   * Times to first token of answers within their deadline, from the caller's first
   * attempt, sorted.
   */
  readonly firstTokenMs: readonly number[];
  /** The same, from the attempt that was answered. */
  readonly lastAttemptFirstTokenMs: readonly number[];
  readonly offeredCount: number;
  readonly goodCount: number;
  readonly attemptCount: number;
  readonly prefixHitShare: number;
  /** Share of the dispatches to an engine in another failure domain. */
  readonly crossingShare: number;
}

/** Returns quantiles of the time to first token. */
export function summarizeFirstTokens(result: ServiceResult) {
  return {
    firstTokenP50Ms: computeQuantile(result.firstTokenMs, 0.5),
    firstTokenP95Ms: computeQuantile(result.firstTokenMs, 0.95),
    firstTokenP99Ms: computeQuantile(result.firstTokenMs, 0.99),
    lastTryP95Ms: computeQuantile(result.lastAttemptFirstTokenMs, 0.95),
  };
}

/** Returns the mean number of answers within their deadline per second. */
export function computeGoodputPerS(
  result: ServiceResult,
  fromMs: number,
  toMs: number,
): number {
  const seconds = result.goodBySecond.slice(fromMs / 1000, toMs / 1000);
  return seconds.reduce((sum, count) => sum + count, 0) / seconds.length;
}
