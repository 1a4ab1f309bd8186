import type {VersionCounters} from './counters.js';
import {
  compareScores,
  computeErrorEvidence,
  computeScoreEvidence,
} from './sequential_test.js';

/**
 * Reaction to low check scores: `hold` reduces the version to a small share
 * until ratings confirm or refute them, `stop` stops the version as low ratings
 * would, and `ignore` relies on ratings alone.
 */
export type CheckAction = 'hold' | 'stop' | 'ignore';

/** Settings of the rollout test and of the steps of a rollout. */
export interface RolloutSettings {
  /** Share of the model's new requests at each step. */
  readonly steps: readonly number[];
  /**
   * Probability that the test since the start of the rollout stops a version
   * that is not worse.
   */
  readonly falseStopRate: number;
  /**
   * The same probability for the test since the start of each later window,
   * which detects a version that degrades after a good start.
   */
  readonly windowFalseStopRate: number;
  /** Time between the starts of two windows. */
  readonly windowMs: number;
  /** Loss of mean rating that is accepted. */
  readonly qualityTolerance: number;
  /**
   * Loss of mean check score that is accepted; larger than `qualityTolerance`,
   * as the check may score two equally good versions differently.
   */
  readonly checkTolerance: number;
  /** Increase of the error rate that is accepted. */
  readonly errorTolerance: number;
  /** Loss of quality that the test is most sensitive to. */
  readonly effectSize: number;
  /** Reaction to low check scores before ratings confirm them. */
  readonly checkAction: CheckAction;
  /** Share of the model's new requests while a version is held. */
  readonly holdShare: number;
  /**
   * Number of ratings after which a held version is released if its mean rating
   * is within `widenTolerance`.
   */
  readonly releaseRatings: number;
  /** Minimum time at a step. */
  readonly stepMs: number;
  /** Minimum number of ratings at a step. */
  readonly ratingsPerStep: number;
  /** Largest loss of mean rating at which the share is still increased. */
  readonly widenTolerance: number;
  /**
   * `fixed-threshold`: loss of mean rating above which the version is stopped.
   */
  readonly fixedQualityDrop: number;
  /** `fixed-threshold`: error rate above which the version is stopped. */
  readonly fixedErrorRate: number;
  /** `fixed-threshold`: ratings needed to evaluate `fixedQualityDrop`. */
  readonly fixedMinRatings: number;
  /** `fixed-threshold`: requests needed to evaluate `fixedErrorRate`. */
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

// Errors, ratings and check scores are tested separately; each test gets a
// third of the false-stop rate (Bonferroni correction).
const CHANNEL_COUNT = 3;

/** Counters of a version and of the version it replaces, over the same time. */
export interface RolloutEvidence {
  readonly candidate: VersionCounters;
  readonly baseline: VersionCounters;
  /** Probability of a false stop that a test on this evidence may have. */
  readonly falseStopRate: number;
  /**
   * Loss of mean check score that ratings have shown not to be a loss of
   * quality.
   */
  readonly checkOffset: number;
}

/** Why a version was stopped. */
export type StopReason = 'quality' | 'errors' | 'checks';

/** Returns the reason to stop the version, or undefined to let it continue. */
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

/** Stop policies, by the name used in settings. */
export const STOP_POLICIES = {
  sequential: findSequentialStop,
  'fixed-threshold': findFixedStop,
} as const satisfies Record<string, StopPolicy>;

export type StopPolicyName = keyof typeof STOP_POLICIES;

/** Evidence gathered at the current step and the time spent there. */
export interface StepEvidence extends RolloutEvidence {
  readonly stepAgeMs: number;
}

/**
 * Returns whether ratings show that a version held for its check scores is good
 * enough to be released.
 */
export function canRelease(
  {candidate, baseline}: RolloutEvidence,
  settings: RolloutSettings,
): boolean {
  if (candidate.ratings.count < settings.releaseRatings) return false;
  const difference = compareScores(baseline.ratings, candidate.ratings);
  if (difference === undefined) return false;
  return difference.mean <= settings.widenTolerance;
}

/** Returns whether the rollout may advance to its next step. */
export type RampPolicy = (
  evidence: StepEvidence,
  settings: RolloutSettings,
) => boolean;

function hasEnoughEvidence(
  {candidate, baseline, stepAgeMs}: StepEvidence,
  settings: RolloutSettings,
): boolean {
  if (stepAgeMs < settings.stepMs) return false;
  if (candidate.ratings.count < settings.ratingsPerStep) return false;
  const difference = compareScores(baseline.ratings, candidate.ratings);
  if (difference === undefined) return false;
  return difference.mean <= settings.widenTolerance;
}

/** Policies for advancing to the next step, by the name used in settings. */
export const RAMP_POLICIES = {
  evidence: hasEnoughEvidence,
  timed: ({stepAgeMs}, {stepMs}) => stepAgeMs >= stepMs,
} as const satisfies Record<string, RampPolicy>;

export type RampPolicyName = keyof typeof RAMP_POLICIES;
