import {computeQuantile} from '@anvilrudder/core';

/** Figures of a run. */
export interface ServiceResult {
  /** Answers within their deadline, by the second in which they ended. */
  readonly goodBySecond: readonly number[];
  /** First tokens of good answers, sorted, from the caller's first try on. */
  readonly firstTokenMs: readonly number[];
  /** The same from the try that was answered. */
  readonly lastTryFirstTokenMs: readonly number[];
  readonly offeredCount: number;
  readonly goodCount: number;
  readonly attemptCount: number;
  readonly prefixHitShare: number;
  readonly crossingShare: number;
}

/** Quantiles of the first token. */
export function summarizeFirstTokens(result: ServiceResult) {
  return {
    firstTokenP50Ms: computeQuantile(result.firstTokenMs, 0.5),
    firstTokenP95Ms: computeQuantile(result.firstTokenMs, 0.95),
    firstTokenP99Ms: computeQuantile(result.firstTokenMs, 0.99),
    lastTryP95Ms: computeQuantile(result.lastTryFirstTokenMs, 0.95),
  };
}

/** Mean of the good answers a second over an interval. */
export function readGoodput(
  result: ServiceResult,
  fromMs: number,
  toMs: number,
): number {
  const seconds = result.goodBySecond.slice(fromMs / 1000, toMs / 1000);
  return seconds.reduce((sum, count) => sum + count, 0) / seconds.length;
}
