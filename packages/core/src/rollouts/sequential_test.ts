import type {Moments} from './counters.js';

const MIN_SCORE_COUNT = 4;
const PRIOR_VARIANCE = 0.03;
const PRIOR_VARIANCE_COUNT = 6;
const ERROR_RATE_FACTORS = [1.5, 2, 4, 8, 16];
const ERROR_RATE_FLOORS = [0.1, 0.3, 0.6, 0.95];
const MAX_ERROR_RATE = 0.98;

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
  const rate = Math.min(0.9, baselineRate + tolerance);
  const successes = candidateRequests - candidateErrors;
  const logRatios = listHigherRates(rate).map(
    higher =>
      candidateErrors * Math.log(higher / rate) +
      successes * Math.log((1 - higher) / (1 - rate)),
  );
  return computeLogMean(logRatios);
}

function listHigherRates(rate: number): readonly number[] {
  return [
    ...ERROR_RATE_FACTORS.map(factor => rate * factor),
    ...ERROR_RATE_FLOORS,
    MAX_ERROR_RATE,
  ].filter(higher => higher > rate && higher <= MAX_ERROR_RATE);
}

function computeLogMean(logs: readonly number[]): number {
  const largest = Math.max(...logs);
  const sum = logs.reduce((total, log) => total + Math.exp(log - largest), 0);
  return largest + Math.log(sum / logs.length);
}
