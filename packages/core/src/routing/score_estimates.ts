import {clamp} from '../utils/math.js';

/** Estimated mean of a score and the variance of the estimate. */
export interface Estimate {
  readonly mean: number;
  readonly variance: number;
  /** Number of ratings used, without the prior. */
  readonly ratingCount: number;
}

/** Sum of scores whose weights decay exponentially with each new score. */
export interface DecayedScores {
  weight: number;
  sum: number;
  count: number;
}

/**
 * Scores grouped by check score interval, and a regression over all of them.
 */
export interface BinnedScores {
  readonly bins: readonly DecayedScores[];
  readonly regression: RegressionSums;
}

/** Weighted sums for a linear regression of the score on the check score. */
interface RegressionSums {
  weight: number;
  check: number;
  score: number;
  checkSquare: number;
  product: number;
}

const SCORE_VARIANCE = 0.03;
// Shrinks the slope towards 0, that is, an uninformative check, while there are
// few ratings (ridge regression).
const SLOPE_RIDGE = 0.3;
const MIN_SHIFT_CHECKS = 50;

/** Creates an empty sum. */
export function createDecayedScores(): DecayedScores {
  return {weight: 0, sum: 0, count: 0};
}

/** Creates a set of empty bins. */
export function createBinnedScores(binCount: number): BinnedScores {
  return {
    bins: Array.from({length: binCount}, createDecayedScores),
    regression: {weight: 0, check: 0, score: 0, checkSquare: 0, product: 0},
  };
}

/** Adds a score; the weight of earlier scores is multiplied by `retention`. */
export function addScore(
  scores: DecayedScores,
  score: number,
  retention: number,
): void {
  scores.weight = scores.weight * retention + 1;
  scores.sum = scores.sum * retention + score;
  scores.count += 1;
}

/** Adds a score to the bin of its check score and to the regression. */
export function addBinnedScore(
  scores: BinnedScores,
  checkScore: number,
  score: number,
  retention: number,
): void {
  const {bins, regression} = scores;
  addScore(bins[findBinIndex(checkScore, bins.length)], score, retention);
  regression.weight = regression.weight * retention + 1;
  regression.check = regression.check * retention + checkScore;
  regression.score = regression.score * retention + score;
  regression.checkSquare = regression.checkSquare * retention + checkScore ** 2;
  regression.product = regression.product * retention + checkScore * score;
}

/** Returns the index of the interval that contains a check score. */
export function findBinIndex(checkScore: number, binCount: number): number {
  return clamp(Math.floor(checkScore * binCount), 0, binCount - 1);
}

/**
 * Estimates a mean from scores and a prior that counts as `priorWeight` scores.
 */
export function estimateMean(
  scores: DecayedScores | undefined,
  priorMean: number,
  priorWeight: number,
): Estimate {
  const weight = priorWeight + (scores?.weight ?? 0);
  const sum = priorWeight * priorMean + (scores?.sum ?? 0);
  return {
    mean: sum / weight,
    variance: SCORE_VARIANCE / weight,
    ratingCount: scores?.count ?? 0,
  };
}

/**
 * Estimates the mean score of a bin. Its prior is the regression over all bins,
 * whose own prior is `mean`.
 */
export function estimateBin(
  scores: BinnedScores | undefined,
  bin: number,
  mean: number,
  priorWeight: number,
): Estimate {
  if (scores === undefined) return estimateMean(undefined, mean, priorWeight);
  const middle = (bin + 0.5) / scores.bins.length;
  const prior = predictScore(scores.regression, middle, mean, priorWeight);
  return estimateMean(scores.bins[bin], prior, priorWeight);
}

/**
 * Estimates how far the mean score has moved since the rated answers were
 * given. It uses the check scores of all answers, which are available without
 * delay and are far more numerous than ratings.
 */
export function estimateShift(
  {regression, bins}: BinnedScores,
  checkCounts: readonly number[],
): number {
  const total = checkCounts.reduce((sum, count) => sum + count, 0);
  if (total < MIN_SHIFT_CHECKS || regression.weight === 0) return 0;
  const now = checkCounts.reduce(
    (sum, count, bin) => sum + (count * (bin + 0.5)) / bins.length,
    0,
  );
  const checkMean = regression.check / regression.weight;
  return estimateSlope(regression) * (now / total - checkMean);
}

function estimateSlope(regression: RegressionSums): number {
  const checkMean = regression.check / regression.weight;
  const scoreMean = regression.score / regression.weight;
  const spread = regression.checkSquare - regression.weight * checkMean ** 2;
  const covariance =
    regression.product - regression.weight * checkMean * scoreMean;
  return covariance / (spread + SLOPE_RIDGE);
}

function predictScore(
  regression: RegressionSums,
  checkScore: number,
  mean: number,
  priorWeight: number,
): number {
  if (regression.weight === 0) return mean;
  const checkMean = regression.check / regression.weight;
  const level =
    (regression.score + priorWeight * mean) / (regression.weight + priorWeight);
  return clamp(
    level + estimateSlope(regression) * (checkScore - checkMean),
    0,
    1,
  );
}
