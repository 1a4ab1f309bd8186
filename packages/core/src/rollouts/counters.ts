/** Number, sum and sum of squares of scores. */
export interface Moments {
  readonly count: number;
  readonly sum: number;
  readonly squareSum: number;
}

/** Everything counted about one version; each field only grows. */
export interface VersionCounters {
  readonly requests: number;
  readonly errors: number;
  readonly ratings: Moments;
  readonly checks: Moments;
}

/** What one request or rating adds. */
export interface EvidenceSample {
  readonly requests?: number;
  readonly errors?: number;
  /** Rating between 0 and 1. */
  readonly score?: number;
  /** Check score between 0 and 1. */
  readonly checkScore?: number;
}

const NO_MOMENTS: Moments = {count: 0, sum: 0, squareSum: 0};

export const ZERO_COUNTERS: VersionCounters = {
  requests: 0,
  errors: 0,
  ratings: NO_MOMENTS,
  checks: NO_MOMENTS,
};

type Combine = (a: number, b: number) => number;

function combineMoments(a: Moments, b: Moments, combine: Combine): Moments {
  return {
    count: combine(a.count, b.count),
    sum: combine(a.sum, b.sum),
    squareSum: combine(a.squareSum, b.squareSum),
  };
}

function combineCounters(
  a: VersionCounters,
  b: VersionCounters,
  combine: Combine,
): VersionCounters {
  return {
    requests: combine(a.requests, b.requests),
    errors: combine(a.errors, b.errors),
    ratings: combineMoments(a.ratings, b.ratings, combine),
    checks: combineMoments(a.checks, b.checks, combine),
  };
}

/** Adds two sets of counters. */
export function addCounters(
  a: VersionCounters,
  b: VersionCounters,
): VersionCounters {
  return combineCounters(a, b, (x, y) => x + y);
}

/** Takes an earlier set of the same counters off a later one. */
export function subtractCounters(
  a: VersionCounters,
  b: VersionCounters,
): VersionCounters {
  return combineCounters(a, b, (x, y) => x - y);
}

/** Merges two states of the same counters; order and repeats do not matter. */
export function mergeCounters(
  a: VersionCounters,
  b: VersionCounters,
): VersionCounters {
  return combineCounters(a, b, Math.max);
}

/** Adds one sample to counters. */
export function addSample(
  counters: VersionCounters,
  sample: EvidenceSample,
): VersionCounters {
  const {score, checkScore} = sample;
  return {
    requests: counters.requests + (sample.requests ?? 0),
    errors: counters.errors + (sample.errors ?? 0),
    ratings: addScoreTo(counters.ratings, score),
    checks: addScoreTo(counters.checks, checkScore),
  };
}

function addScoreTo(moments: Moments, score: number | undefined): Moments {
  if (score === undefined) return moments;
  return {
    count: moments.count + 1,
    sum: moments.sum + score,
    squareSum: moments.squareSum + score * score,
  };
}
