import {
  computeStratifiedErrorEvidence,
  type ErrorStratum,
} from '../../rollouts/sequential_test.js';
import type {AnswerCounters} from './answer_counters.js';
import type {PooledAnswers} from './pooled_answers.js';

/** Answers, and how many of them are bad in the compared way. */
interface BadAnswers {
  readonly count: number;
  readonly badCount: number;
}

/** How the share of bad answers of two versions is compared. */
export interface RateComparison {
  readonly countBad: (counters: AnswerCounters) => BadAnswers;
  /** Share at an old version without answers. */
  readonly usualShare: number;
  /** Increase over the share of the old version that is tolerated. */
  readonly tolerance: number;
}

/** Log-likelihood ratios above which bad answers count as a finding. */
export interface EvidenceLimits {
  readonly onAllRoutes: number;
  readonly onOneRoute: number;
}

export const FAILURES: RateComparison = {
  countBad: ({requests, failures}) => ({count: requests, badCount: failures}),
  usualShare: 0.02,
  tolerance: 0.04,
};

export const SLOW_ANSWERS: RateComparison = {
  countBad: ({durations}) => ({
    count: durations.count,
    badCount: durations.slowCount,
  }),
  usualShare: 0.05,
  tolerance: 0.1,
};

/** Answers that an assumed share weighs as much as. */
const ASSUMED_SHARE_COUNT = {ofService: 4, ofRoute: 20} as const;

/**
 * Lists the answers of the new version by route, each with the share of bad ones
 * up to which it counts as good.
 *
 * @example
 * ```ts
 * exceeds(listStrata(answers, FAILURES), limits);
 * ```
 */
export function listStrata(
  answers: PooledAnswers,
  {countBad, usualShare, tolerance}: RateComparison,
): readonly ErrorStratum[] {
  const serviceShare = estimateShare(
    countBad(answers.readAll('old')),
    usualShare,
    ASSUMED_SHARE_COUNT.ofService,
  );
  return answers.listRoutes('new').map(route => {
    const {count, badCount} = countBad(answers.read(route, 'new'));
    const baselineShare = estimateShare(
      countBad(answers.read(route, 'old')),
      serviceShare,
      ASSUMED_SHARE_COUNT.ofRoute,
    );
    const acceptedRate = baselineShare + tolerance;
    return {requests: count, errors: badCount, acceptedRate};
  });
}

/**
 * True if there are too many bad answers on one route, or a few too many on all
 * of them.
 */
export function exceeds(
  strata: readonly ErrorStratum[],
  {onAllRoutes, onOneRoute}: EvidenceLimits,
): boolean {
  return (
    computeStratifiedErrorEvidence(strata) > onAllRoutes ||
    strata.some(
      stratum => computeStratifiedErrorEvidence([stratum]) > onOneRoute,
    )
  );
}

/** Estimates a share; few answers move it little from the assumed one. */
function estimateShare(
  {count, badCount}: BadAnswers,
  assumedShare: number,
  assumedCount: number,
): number {
  return (badCount + assumedCount * assumedShare) / (count + assumedCount);
}
