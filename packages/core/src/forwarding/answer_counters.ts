import type {Moments} from '../rollouts/counters.js';
import {clamp} from '../utils/math.js';

/** Counters of the answers of one version on one route; they only grow. */
export interface AnswerCounters {
  readonly requests: number;
  readonly failures: number;
  /** Slowness is the logarithm of the actual over the expected time. */
  readonly slowness: Moments;
}

/** One answer; slowness is undefined without an expected time. */
export interface AnswerOutcome {
  readonly hasFailed: boolean;
  readonly slowness: number | undefined;
}

const SLOWNESS_RANGE = {min: -2, max: 3} as const;

export const NO_ANSWERS: AnswerCounters = {
  requests: 0,
  failures: 0,
  slowness: {count: 0, sum: 0, squareSum: 0},
};

/** Counts one more answer. */
export function addAnswer(
  counters: AnswerCounters,
  {hasFailed, slowness}: AnswerOutcome,
): AnswerCounters {
  return sumAnswers(counters, {
    requests: 1,
    failures: hasFailed ? 1 : 0,
    slowness:
      slowness === undefined ? NO_ANSWERS.slowness : toMoments(slowness),
  });
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
  };
}

function toMoments(slowness: number): Moments {
  const {min, max} = SLOWNESS_RANGE;
  const bounded = clamp(slowness, min, max);
  return {count: 1, sum: bounded, squareSum: bounded * bounded};
}
