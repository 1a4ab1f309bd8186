import type {Moments} from './counters.js';

const MIN_SCORE_COUNT = 4;
const PRIOR_VARIANCE = 0.03;
const PRIOR_VARIANCE_COUNT = 6;
const ERROR_RATE_FACTORS = [1.5, 2, 4, 8, 16];
const ERROR_RATE_FLOORS = [0.1, 0.3, 0.6, 0.95];
const MAX_ERROR_RATE = 0.98;
/** Higher accepted rates are treated as this one. */
const MAX_ACCEPTED_ERROR_RATE = 0.9;

/** Scores of two versions and how to compare them. */
export interface ScoreComparison {
  readonly candidate: Moments;
  readonly baseline: Moments;
  /** Largest difference of the means that is treated as equal. */
  readonly tolerance: number;
  /** Expected size of a difference; the test is most sensitive around it. */
  readonly effectSize: number;
}

/** Baseline mean minus candidate mean, and the variance of the difference. */
export interface ScoreDifference {
  readonly mean: number;
  readonly variance: number;
}

/**
 * Estimates the difference between the mean scores of two versions.
 *
 * @returns undefined while either version has too few scores.
 * @example
 * ```ts
 * compareScores(baseline, candidate)?.mean; // 0.1: candidate worse by 0.1
 * ```
 */
export function compareScores(
  baseline: Moments,
  candidate: Moments,
): ScoreDifference | undefined {
  if (Math.min(baseline.count, candidate.count) < MIN_SCORE_COUNT) {
    return undefined;
  }
  return {
    mean: baseline.sum / baseline.count - candidate.sum / candidate.count,
    variance:
      estimateVariance(baseline) / baseline.count +
      estimateVariance(candidate) / candidate.count,
  };
}

function estimateVariance({count, sum, squareSum}: Moments): number {
  const squares = Math.max(0, squareSum - (sum * sum) / count);
  return (
    (squares + PRIOR_VARIANCE * PRIOR_VARIANCE_COUNT) /
    (count + PRIOR_VARIANCE_COUNT)
  );
}

/**
 * Computes the logarithm of the mixture likelihood ratio against the null
 * hypothesis that the candidate is worse by at most the tolerance. If the null
 * hypothesis holds, the probability that the value ever exceeds ln(1/a) is at
 * most about a, however often the test is evaluated. The value depends only on
 * sums, so the order of the scores does not matter.
 *
 * @example
 * ```ts
 * const isWorse = computeScoreEvidence(comparison) > Math.log(1 / 0.01);
 * ```
 */
export function computeScoreEvidence(comparison: ScoreComparison): number {
  const {candidate, baseline, tolerance, effectSize} = comparison;
  const difference = compareScores(baseline, candidate);
  if (difference === undefined) return 0;
  const excess = difference.mean - tolerance;
  if (excess <= 0) return 0;
  const {variance} = difference;
  const mixture = effectSize * effectSize;
  const total = variance + mixture;
  return (
    0.5 * Math.log(variance / total) +
    (mixture * excess * excess) / (2 * variance * total)
  );
}

/** Requests and errors of two versions. */
export interface ErrorComparison {
  readonly candidateRequests: number;
  readonly candidateErrors: number;
  readonly baselineRequests: number;
  readonly baselineErrors: number;
  /** Increase over the baseline's error rate that is accepted. */
  readonly tolerance: number;
}

/** Requests and errors of a candidate among requests of the same kind. */
export interface ErrorStratum {
  readonly requests: number;
  readonly errors: number;
  /** Error rate up to which the candidate counts as good. */
  readonly acceptedRate: number;
}

/**
 * Computes the logarithm of the mean likelihood ratio of a set of higher error
 * rates against the baseline's rate plus the tolerance. The false-positive
 * bound of {@link computeScoreEvidence} applies.
 *
 * @example
 * ```ts
 * const isFailing = computeErrorEvidence(comparison) > Math.log(1 / 0.01);
 * ```
 */
export function computeErrorEvidence(comparison: ErrorComparison): number {
  const {candidateRequests, candidateErrors, tolerance} = comparison;
  const {baselineRequests, baselineErrors} = comparison;
  if (candidateErrors === 0) return 0;
  const baselineRate = (baselineErrors + 0.5) / (baselineRequests + 1);
  return computeStratifiedErrorEvidence([
    {
      requests: candidateRequests,
      errors: candidateErrors,
      acceptedRate: baselineRate + tolerance,
    },
  ]);
}

/**
 * Computes the evidence of {@link computeErrorEvidence} from several kinds of
 * requests together, each with its own accepted error rate. A candidate that
 * fails on all of them is found although each has few requests.
 *
 * @example
 * ```ts
 * computeStratifiedErrorEvidence([
 *   {requests: 8, errors: 4, acceptedRate: 0.05},
 *   {requests: 3, errors: 2, acceptedRate: 0.2},
 * ]);
 * ```
 */
export function computeStratifiedErrorEvidence(
  strata: readonly ErrorStratum[],
): number {
  return computeLogMean(
    HIGHER_RATES.map(computeHigherRate =>
      strata.reduce(
        (sum, stratum) => sum + computeLogRatio(stratum, computeHigherRate),
        0,
      ),
    ),
  );
}

/** Raises an accepted error rate; returns it unchanged if it is as high. */
type RateIncrease = (acceptedRate: number) => number;

const HIGHER_RATES: readonly RateIncrease[] = [
  ...ERROR_RATE_FACTORS.map(
    (factor): RateIncrease =>
      rate =>
        Math.max(rate, Math.min(MAX_ERROR_RATE, rate * factor)),
  ),
  ...[...ERROR_RATE_FLOORS, MAX_ERROR_RATE].map(
    (floor): RateIncrease =>
      rate =>
        Math.max(rate, floor),
  ),
];

function computeLogRatio(
  {requests, errors, acceptedRate}: ErrorStratum,
  computeHigherRate: RateIncrease,
): number {
  const rate = Math.min(MAX_ACCEPTED_ERROR_RATE, acceptedRate);
  const higherRate = computeHigherRate(rate);
  const successes = requests - errors;
  return (
    errors * Math.log(higherRate / rate) +
    successes * Math.log((1 - higherRate) / (1 - rate))
  );
}

function computeLogMean(logs: readonly number[]): number {
  const largest = Math.max(...logs);
  const sum = logs.reduce((total, log) => total + Math.exp(log - largest), 0);
  return largest + Math.log(sum / logs.length);
}
