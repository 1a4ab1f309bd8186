import {
  computeStratifiedErrorEvidence,
  type ErrorStratum,
} from '../../rollouts/sequential_test.js';
import type {Moments} from '../../rollouts/counters.js';
import {
  PooledAnswers,
  type AnswerDelta,
  type AnswerRow,
  type RolloutSide,
} from './pooled_answers.js';
import {
  exceeds,
  FAILURES,
  listStrata,
  SLOW_ANSWERS,
  type EvidenceLimits,
  type RateComparison,
} from './answer_strata.js';
import type {VersionAssessment} from './rollout_plan.js';
import {SlownessBaseline} from './slowness_baseline.js';

/** Observation of one answer of a version. */
export interface VersionSample {
  /** Failures are compared among requests of the same route. */
  readonly route: string;
  readonly side: RolloutSide;
  readonly hasFailed: boolean;
  /**
   * Logarithm of the ratio of actual to expected time; undefined without an
   * expected time.
   */
  readonly slowness: number | undefined;
  /** It took far longer than expected; undefined if that is not known. */
  readonly isSlow?: boolean;
}

/** Difference in mean slowness between the new and the old version. */
interface SlownessDifference {
  readonly meanDifference: number;
  readonly standardError: number;
}

/** Kind of regression found in the new version. */
export type RegressionKind = 'failures' | 'slowness';

const REGRESSION_EVIDENCE: EvidenceLimits = {
  onAllRoutes: Math.log(2000),
  onOneRoute: Math.log(2000),
};
/**
 * For a suspicion, which only moves retries and delays the next step. One failed
 * answer on a route with few answers is none.
 */
const SUSPECT_EVIDENCE: EvidenceLimits = {
  onAllRoutes: Math.log(5),
  onOneRoute: Math.log(50),
};
/** Failure rates of the new version that the answers must be able to show. */
const DETECTABLE_FAILURE_RATE = {beforeShift: 0.5, beforeSuccess: 0.4} as const;
/** Evidence expected of such a version, so that chance rarely hides it. */
const DETECTION_MARGIN = 1.5;
/** Answers with a slowness before all work moves, if the old version has some. */
const SLOWNESS_COUNT_BEFORE_SHIFT = 12;
/** Tolerated difference in slowness (logarithm of a time ratio). */
const SLOWNESS_TOLERANCE = Math.log(1.3);
/** Standard errors beyond the tolerance at which a version counts as slow. */
const REGRESSION_STANDARD_ERRORS = 3.7;
const MIN_SLOWNESS_COUNT = 6;
/** Tolerated difference in slowness at the end of sampling. */
const LOOKS_SLOW_TOLERANCE = 0.3;
/** Standard errors that the difference has to exceed as well. */
const LOOKS_SLOW_STANDARD_ERRORS = 2;
const PRIOR_VARIANCE = 0.4;
const PRIOR_COUNT = 4;

/**
 * Evidence of all hosts about the two versions of a rollout. Failures are counted
 * by route, as a version may fail on one route only.
 */
export class VersionEvidence {
  private readonly answers = PooledAnswers.create();
  private readonly baseline = SlownessBaseline.create();

  private constructor() {}

  /**
   * @example
   * ```ts
   * const evidence = VersionEvidence.create();
   * evidence.record({route: 'a', side: 'new', hasFailed: true, slowness: undefined});
   * evidence.findRegression();
   * ```
   */
  static create(): VersionEvidence {
    return new VersionEvidence();
  }

  /** Counts an answer that this host has received. */
  record({route, side, hasFailed, slowness, isSlow}: VersionSample): void {
    const relativeSlowness = this.relateSlowness(side, slowness);
    this.answers.record(route, side, {
      hasFailed,
      slowness: relativeSlowness,
      isSlow,
    });
  }

  /** Counts an answer that was slow when its request's time was over. */
  recordUnfinishedSlow(route: string, side: RolloutSide): void {
    this.answers.recordUnfinishedSlow(route, side);
  }

  private relateSlowness(
    side: RolloutSide,
    slowness: number | undefined,
  ): number | undefined {
    if (slowness === undefined) return undefined;
    const relative = this.baseline.relate(slowness);
    if (side === 'old') this.baseline.record(slowness);
    return relative;
  }

  /**
   * Takes over the rows of another host.
   *
   * @param member identifies one run of the host.
   */
  merge(member: string, rows: readonly AnswerRow[]): void {
    this.answers.merge(member, rows);
  }

  /** Lists this host's rows that changed after a revision; 0 for all rows. */
  listOwnRows(afterRevision: number): AnswerDelta {
    return this.answers.listOwnRows(afterRevision);
  }

  /** Counts the answers of one side on all routes. */
  countRequests(side: RolloutSide): number {
    return this.answers.readAll(side).requests;
  }

  /** Counts the failed answers of one side on all routes. */
  countFailures(side: RolloutSide): number {
    return this.answers.readAll(side).failures;
  }

  /** Finds a regression of the new version; undefined when there is none. */
  findRegression(): RegressionKind | undefined {
    if (this.hasFailures(REGRESSION_EVIDENCE)) return 'failures';
    const isSlow = this.hasSlowShare(REGRESSION_EVIDENCE) || this.isSlow();
    return isSlow ? 'slowness' : undefined;
  }

  /** True when the new version may be a regression; retries should avoid it. */
  isSuspect(): boolean {
    return (
      this.hasFailures(SUSPECT_EVIDENCE) || this.hasSlowShare(SUSPECT_EVIDENCE)
    );
  }

  /** Assesses the new version while it is sampled. */
  assess(): VersionAssessment {
    if (this.isSuspect()) return 'suspect';
    const {beforeShift} = DETECTABLE_FAILURE_RATE;
    const hasEnough =
      this.canShowFailures(beforeShift) && this.canShowSlowness();
    return hasEnough ? 'looksGood' : 'unknown';
  }

  /** True if a bad version would have been found, and this one looks good. */
  isSufficientForSuccess(): boolean {
    const {beforeSuccess} = DETECTABLE_FAILURE_RATE;
    return this.canShowFailures(beforeSuccess) && !this.isSuspect();
  }

  /** True if a version that fails at this rate would have been found by now. */
  private canShowFailures(failureRate: number): boolean {
    const strata = this.listStrata(FAILURES).map(stratum => ({
      ...stratum,
      errors: stratum.requests * Math.max(failureRate, stratum.acceptedRate),
    }));
    const evidence = computeStratifiedErrorEvidence(strata);
    return evidence > DETECTION_MARGIN * REGRESSION_EVIDENCE.onAllRoutes;
  }

  private canShowSlowness(): boolean {
    const isMeasured =
      this.answers.readAll('old').slowness.count >= MIN_SLOWNESS_COUNT;
    return (
      !isMeasured ||
      this.answers.readAll('new').slowness.count >= SLOWNESS_COUNT_BEFORE_SHIFT
    );
  }

  private listStrata(comparison: RateComparison): readonly ErrorStratum[] {
    return listStrata(this.answers, comparison);
  }

  private hasFailures(limits: EvidenceLimits): boolean {
    return exceeds(this.listStrata(FAILURES), limits);
  }

  /**
   * Whether more answers than of the old version are slow. That shows a version
   * that is slow for some requests, whose mean hardly differs.
   */
  private hasSlowShare(limits: EvidenceLimits): boolean {
    return exceeds(this.listStrata(SLOW_ANSWERS), limits);
  }

  /**
   * True when the new version looks slow, though not significantly. A version
   * that looks slow at the end of sampling should not get all work.
   */
  looksSlow(): boolean {
    const difference = this.compareSlowness();
    if (difference === undefined) return false;
    const {meanDifference, standardError} = difference;
    return (
      meanDifference >
      Math.max(LOOKS_SLOW_TOLERANCE, LOOKS_SLOW_STANDARD_ERRORS * standardError)
    );
  }

  /** Returns the mean slowness of one side; undefined without samples. */
  readSlowness(side: RolloutSide): number | undefined {
    const moments = this.answers.readAll(side).slowness;
    return moments.count === 0 ? undefined : meanOf(moments);
  }

  /** True when the new version is significantly slower than tolerated. */
  private isSlow(): boolean {
    const difference = this.compareSlowness();
    if (difference === undefined) return false;
    const {meanDifference, standardError} = difference;
    return (
      meanDifference - SLOWNESS_TOLERANCE >
      REGRESSION_STANDARD_ERRORS * standardError
    );
  }

  /** Returns undefined while either side has too few samples. */
  private compareSlowness(): SlownessDifference | undefined {
    const candidate = this.answers.readAll('new').slowness;
    const baseline = this.answers.readAll('old').slowness;
    const smallerCount = Math.min(candidate.count, baseline.count);
    if (smallerCount < MIN_SLOWNESS_COUNT) return undefined;
    const variance = varianceOfMean(candidate) + varianceOfMean(baseline);
    return {
      meanDifference: meanOf(candidate) - meanOf(baseline),
      standardError: Math.sqrt(variance),
    };
  }
}

function meanOf({count, sum}: Moments): number {
  return sum / count;
}

function varianceOfMean(moments: Moments): number {
  const {count, squareSum} = moments;
  const squaredDeviations = squareSum - count * meanOf(moments) ** 2;
  const variance =
    (squaredDeviations + PRIOR_COUNT * PRIOR_VARIANCE) / (count + PRIOR_COUNT);
  return variance / count;
}
