import type {VersionCounters} from './counters.js';
import {
  compareScores,
  computeErrorEvidence,
  computeScoreEvidence,
} from './sequential_test.js';

/**
 * `hold` keeps a small share until ratings decide; `stop` trusts the check as
 * much as ratings; `ignore` waits for ratings.
 */
export type CheckAction = 'hold' | 'stop' | 'ignore';

/** Settings of the decision on a roll-out. */
export interface RolloutSettings {
  /** Shares of the model's work, one a step. */
  readonly steps: readonly number[];
  /** Probability of stopping a version that is not worse, over its ramp. */
  readonly falseStopRate: number;
  /** The same for each later window, in which a version may turn bad. */
  readonly windowFalseStopRate: number;
  /** Length of a window. */
  readonly windowMs: number;
  readonly qualityTolerance: number;
  /** Wider, as the check may judge two equal versions differently. */
  readonly checkTolerance: number;
  readonly errorTolerance: number;
  /** Size of the loss of quality that the test looks for. */
  readonly effectSize: number;
  /** What low check scores do before ratings confirm them. */
  readonly checkAction: CheckAction;
  /** Share of the model's work while a version is held. */
  readonly holdShare: number;
  /** Good ratings that release a held version. */
  readonly releaseRatings: number;
  /** Least time at a step. */
  readonly stepMs: number;
  /** Ratings that a step needs. */
  readonly ratingsPerStep: number;
  /** Largest measured loss of quality that still widens. */
  readonly widenTolerance: number;
  /** Parts of the fixed policies. */
  readonly fixedQualityDrop: number;
  readonly fixedErrorRate: number;
  readonly fixedMinRatings: number;
  readonly fixedMinRequests: number;
}

export const DEFAULT_ROLLOUT_SETTINGS: RolloutSettings = {
  steps: [0.05, 0.25, 0.5, 1],
  falseStopRate: 0.01,
  windowFalseStopRate: 0.0005,
  windowMs: 600_000,
  qualityTolerance: 0.02,
  checkTolerance: 0.05,
  errorTolerance: 0.01,
  effectSize: 0.1,
  checkAction: 'hold',
  holdShare: 0.01,
  releaseRatings: 30,
  stepMs: 120_000,
  ratingsPerStep: 20,
  widenTolerance: 0.03,
  fixedQualityDrop: 0.1,
  fixedErrorRate: 0.05,
  fixedMinRatings: 50,
  fixedMinRequests: 100,
};

const CHANNEL_COUNT = 3;

/** Evidence on a version and on the one it replaces, over the same time. */
export interface RolloutEvidence {
  readonly candidate: VersionCounters;
  readonly baseline: VersionCounters;
  /** False-stop rate that a test on this evidence may use. */
  readonly falseStopRate: number;
  /** Difference of check scores that ratings have shown to be harmless. */
  readonly checkOffset: number;
}

/** Why a version was stopped. */
export type StopReason = 'quality' | 'errors' | 'checks';

/** Returns why the evidence stops the version, if it does. */
export type StopPolicy = (
  evidence: RolloutEvidence,
  settings: RolloutSettings,
) => StopReason | undefined;

function findSequentialStop(
  evidence: RolloutEvidence,
  settings: RolloutSettings,
): StopReason | undefined {
  const {candidate, baseline, falseStopRate} = evidence;
  const {qualityTolerance, checkTolerance, effectSize} = settings;
  const limit = Math.log(CHANNEL_COUNT / falseStopRate);
  const errors = computeErrorEvidence({
    candidateRequests: candidate.requests,
    candidateErrors: candidate.errors,
    baselineRequests: baseline.requests,
    baselineErrors: baseline.errors,
    tolerance: settings.errorTolerance,
  });
  if (errors > limit) return 'errors';
  const compare = (channel: 'ratings' | 'checks', tolerance: number) =>
    computeScoreEvidence({
      candidate: candidate[channel],
      baseline: baseline[channel],
      tolerance,
      effectSize,
    });
  if (compare('ratings', qualityTolerance) > limit) return 'quality';
  if (settings.checkAction === 'ignore') return undefined;
  const tolerance = checkTolerance + Math.max(0, evidence.checkOffset);
  return compare('checks', tolerance) > limit ? 'checks' : undefined;
}

function findFixedStop(
  {candidate, baseline}: RolloutEvidence,
  settings: RolloutSettings,
): StopReason | undefined {
  const {fixedMinRequests, fixedMinRatings} = settings;
  const errorRate = candidate.errors / Math.max(1, candidate.requests);
  const hasRequests = candidate.requests >= fixedMinRequests;
  if (hasRequests && errorRate > settings.fixedErrorRate) return 'errors';
  const difference = compareScores(baseline.ratings, candidate.ratings);
  if (difference === undefined) return undefined;
  if (candidate.ratings.count < fixedMinRatings) return undefined;
  return difference.mean > settings.fixedQualityDrop ? 'quality' : undefined;
}

/** The stopping rules that settings can name. */
export const STOP_POLICIES = {
  sequential: findSequentialStop,
  'fixed-threshold': findFixedStop,
} as const satisfies Record<string, StopPolicy>;

export type StopPolicyName = keyof typeof STOP_POLICIES;

/** Evidence gathered at the present step and the time spent there. */
export interface StepEvidence extends RolloutEvidence {
  readonly stepAgeMs: number;
}

/** True when ratings clear a version that its check scores held. */
export function canRelease(
  {candidate, baseline}: RolloutEvidence,
  settings: RolloutSettings,
): boolean {
  if (candidate.ratings.count < settings.releaseRatings) return false;
  const difference = compareScores(baseline.ratings, candidate.ratings);
  if (difference === undefined) return false;
  return difference.mean <= settings.widenTolerance;
}

/** True when the roll-out may go on to its next step. */
export type RampPolicy = (
  evidence: StepEvidence,
  settings: RolloutSettings,
) => boolean;

function isEvidenceEnough(
  {candidate, baseline, stepAgeMs}: StepEvidence,
  settings: RolloutSettings,
): boolean {
  if (stepAgeMs < settings.stepMs) return false;
  if (candidate.ratings.count < settings.ratingsPerStep) return false;
  const difference = compareScores(baseline.ratings, candidate.ratings);
  if (difference === undefined) return false;
  return difference.mean <= settings.widenTolerance;
}

/** The rules for widening that settings can name. */
export const RAMP_POLICIES = {
  evidence: isEvidenceEnough,
  timed: ({stepAgeMs}, {stepMs}) => stepAgeMs >= stepMs,
} as const satisfies Record<string, RampPolicy>;

export type RampPolicyName = keyof typeof RAMP_POLICIES;
