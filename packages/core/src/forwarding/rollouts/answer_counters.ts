import type {Moments} from '../../rollouts/counters.js';
import {clamp} from '../../utils/math.js';

/** Answers with an expected time, and those that took far longer. */
export interface DurationCounts {
  readonly count: number;
  readonly slowCount: number;
}

/** Counters of the answers of one version on one route; they only grow. */
export interface AnswerCounters {
  readonly requests: number;
  readonly failures: number;
  /** Slowness is the logarithm of the actual over the expected time. */
  readonly slowness: Moments;
  readonly durations: DurationCounts;
}

/** One answer; slowness is undefined without an expected time. */
export interface AnswerOutcome {
  readonly hasFailed: boolean;
  readonly slowness: number | undefined;
  /** It took far longer than expected; undefined if that is not known. */
  readonly isSlow?: boolean;
}

const SLOWNESS_RANGE = {min: -2, max: 3} as const;

export const NO_ANSWERS: AnswerCounters = {
  requests: 0,
  failures: 0,
  slowness: {count: 0, sum: 0, squareSum: 0},
  durations: {count: 0, slowCount: 0},
};

/** Counts one more answer. */
export function addAnswer(
  counters: AnswerCounters,
  {hasFailed, slowness, isSlow}: AnswerOutcome,
): AnswerCounters {
  return sumAnswers(counters, {
    requests: 1,
    failures: hasFailed ? 1 : 0,
    slowness:
      slowness === undefined ? NO_ANSWERS.slowness : toMoments(slowness),
    durations: toDurationCounts(isSlow),
  });
}

/** Counts an answer that was slow when it was given up, and may yet have come. */
export function addUnfinishedSlowAnswer(
  counters: AnswerCounters,
): AnswerCounters {
  const durations = toDurationCounts(true);
  return sumAnswers(counters, {...NO_ANSWERS, durations});
}

/** Adds the counters of two hosts or routes. */
export function sumAnswers(
  a: AnswerCounters,
  b: AnswerCounters,
): AnswerCounters {
  return combine(a, b, (x, y) => x + y);
}

/** Subtracts an earlier state of the same counters, `b`, from a later one. */
export function subtractAnswers(
  a: AnswerCounters,
  b: AnswerCounters,
): AnswerCounters {
  return combine(a, b, (x, y) => x - y);
}

function combine(
  a: AnswerCounters,
  b: AnswerCounters,
  combineValues: (x: number, y: number) => number,
): AnswerCounters {
  return {
    requests: combineValues(a.requests, b.requests),
    failures: combineValues(a.failures, b.failures),
    slowness: {
      count: combineValues(a.slowness.count, b.slowness.count),
      sum: combineValues(a.slowness.sum, b.slowness.sum),
      squareSum: combineValues(a.slowness.squareSum, b.slowness.squareSum),
    },
    durations: {
      count: combineValues(a.durations.count, b.durations.count),
      slowCount: combineValues(a.durations.slowCount, b.durations.slowCount),
    },
  };
}

function toDurationCounts(isSlow: boolean | undefined): DurationCounts {
  if (isSlow === undefined) return NO_ANSWERS.durations;
  return {count: 1, slowCount: isSlow ? 1 : 0};
}

function toMoments(slowness: number): Moments {
  const {min, max} = SLOWNESS_RANGE;
  const bounded = clamp(slowness, min, max);
  return {count: 1, sum: bounded, squareSum: bounded * bounded};
}
