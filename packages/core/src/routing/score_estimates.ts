import {clamp} from '../utils/math.js';

/** An estimated mean and the variance of that estimate. */
export interface Estimate {
  readonly mean: number;
  readonly variance: number;
  /** Ratings behind the estimate, without the prior. */
  readonly ratingCount: number;
}

/** Scores summed up with exponential forgetting. */
export interface Tally {
  weight: number;
  sum: number;
  count: number;
}

/** Scores by the interval of a check score, and the line through them all. */
export interface BinnedScores {
  readonly bins: readonly Tally[];
  readonly line: LineFit;
}

/** Weighted sums of a least squares line of score over check score. */
interface LineFit {
  weight: number;
  check: number;
  score: number;
  checkSquare: number;
  product: number;
}

const SCORE_VARIANCE = 0.03;
// Pulls the slope towards 0, an uninformative check, while ratings are few.
const SLOPE_RIDGE = 0.3;
const MIN_SHIFT_CHECKS = 50;

/** Creates a tally without scores. */
export function createTally(): Tally {
  return {weight: 0, sum: 0, count: 0};
}

/** Creates scores by check bin without any score. */
export function createBinnedScores(binCount: number): BinnedScores {
  return {
    bins: Array.from({length: binCount}, createTally),
    line: {weight: 0, check: 0, score: 0, checkSquare: 0, product: 0},
  };
}

/** Adds a score; older scores keep `retention` of their weight. */
export function addScore(tally: Tally, score: number, retention: number): void {
  tally.weight = tally.weight * retention + 1;
  tally.sum = tally.sum * retention + score;
  tally.count += 1;
}

/** Adds a score to the bin of its check score and to the line. */
export function addBinnedScore(
  scores: BinnedScores,
  checkScore: number,
  score: number,
  retention: number,
): void {
  const {bins, line} = scores;
  addScore(bins[resolveBin(checkScore, bins.length)], score, retention);
  line.weight = line.weight * retention + 1;
  line.check = line.check * retention + checkScore;
  line.score = line.score * retention + score;
  line.checkSquare = line.checkSquare * retention + checkScore ** 2;
  line.product = line.product * retention + checkScore * score;
}

/** Index of the interval that holds a check score. */
export function resolveBin(checkScore: number, binCount: number): number {
  return clamp(Math.floor(checkScore * binCount), 0, binCount - 1);
}

/** Estimates a mean from scores and a prior worth `priorWeight` scores. */
export function estimateTally(
  tally: Tally | undefined,
  priorMean: number,
  priorWeight: number,
): Estimate {
  const weight = priorWeight + (tally?.weight ?? 0);
  const sum = priorWeight * priorMean + (tally?.sum ?? 0);
  return {
    mean: sum / weight,
    variance: SCORE_VARIANCE / weight,
    ratingCount: tally?.count ?? 0,
  };
}

/**
 * Estimates the mean of a bin; the line through all bins is its prior, and
 * `mean` the prior of the line.
 */
export function estimateBin(
  scores: BinnedScores | undefined,
  bin: number,
  mean: number,
  priorWeight: number,
): Estimate {
  if (scores === undefined) return estimateTally(undefined, mean, priorWeight);
  const middle = (bin + 0.5) / scores.bins.length;
  const prior = readLine(scores.line, middle, mean, priorWeight);
  return estimateTally(scores.bins[bin], prior, priorWeight);
}

/**
 * Estimates how far the mean score has moved since the ratings, from the
 * check scores of all answers, which come at once and are many.
 */
export function estimateShift(
  {line, bins}: BinnedScores,
  checkCounts: readonly number[],
): number {
  const total = checkCounts.reduce((sum, count) => sum + count, 0);
  if (total < MIN_SHIFT_CHECKS || line.weight === 0) return 0;
  const now = checkCounts.reduce(
    (sum, count, bin) => sum + (count * (bin + 0.5)) / bins.length,
    0,
  );
  const checkMean = line.check / line.weight;
  return estimateSlope(line) * (now / total - checkMean);
}

function estimateSlope(line: LineFit): number {
  const checkMean = line.check / line.weight;
  const scoreMean = line.score / line.weight;
  const spread = line.checkSquare - line.weight * checkMean ** 2;
  const covariance = line.product - line.weight * checkMean * scoreMean;
  return covariance / (spread + SLOPE_RIDGE);
}

function readLine(
  line: LineFit,
  checkScore: number,
  mean: number,
  priorWeight: number,
): number {
  if (line.weight === 0) return mean;
  const checkMean = line.check / line.weight;
  const level = (line.score + priorWeight * mean) / (line.weight + priorWeight);
  return clamp(level + estimateSlope(line) * (checkScore - checkMean), 0, 1);
}
