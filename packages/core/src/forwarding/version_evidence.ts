import {
  computeStratifiedErrorEvidence,
  type ErrorStratum,
} from '../rollouts/sequential_test.js';
import {clamp} from '../utils/math.js';
import type {VersionAssessment} from './rollout_plan.js';

/** The old or the new version of a rollout. */
export type RolloutSide = 'old' | 'new';

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
}

/** Request counts of one version on one route. */
interface RouteCounts {
  readonly requests: number;
  readonly failures: number;
}

interface MutableRouteCounts extends RouteCounts {
  requests: number;
  failures: number;
}

/** Statistical moments of the slowness of one version. */
interface SlownessMoments {
  count: number;
  sum: number;
  squareSum: number;
}

/** Difference in mean slowness between the new and the old version. */
interface SlownessDifference {
  readonly meanDifference: number;
  readonly standardError: number;
}

/** Kind of regression found in the new version. */
export type RegressionKind = 'failures' | 'slowness';

/** Log-likelihood ratio above which a version counts as a regression. */
const REGRESSION_LOG_LIKELIHOOD_RATIO = Math.log(2000);
/** The same for a suspected one; lower, as a false alarm costs little. */
const SUSPECT_LOG_LIKELIHOOD_RATIO = Math.log(5);
/** The same for one that must not be declared good yet. */
const DOUBTFUL_LOG_LIKELIHOOD_RATIO = Math.log(50);
const FAILURE_RATE_TOLERANCE = 0.04;
/** Failure rates of the new version that the answers must be able to show. */
const DETECTABLE_FAILURE_RATE = {beforeShift: 0.4, beforeSuccess: 0.3} as const;
/** Evidence expected of such a version, so that chance rarely hides it. */
const DETECTION_MARGIN = 1.5;
/** Answers with a slowness before all work moves, if the old version has some. */
const SLOWNESS_COUNT_BEFORE_SHIFT = 12;
/** Failure rate of an old version without answers. */
const USUAL_FAILURE_RATE = 0.02;
/** Answers that an assumed failure rate weighs as much as. */
const ASSUMED_RATE_COUNT = {ofService: 4, ofRoute: 20} as const;
const NO_REQUESTS: RouteCounts = {requests: 0, failures: 0};
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
const SLOWNESS_RANGE = {min: -2, max: 3} as const;

/**
 * Evidence that this host has collected about the two versions of a rollout.
 * Failures are counted by route, as a version may fail on one route only.
 */
export class VersionEvidence {
  private readonly countsByRouteAndSide = new Map<string, MutableRouteCounts>();
  private readonly routes = new Set<string>();
  private readonly slowness: Readonly<Record<RolloutSide, SlownessMoments>> = {
    old: {count: 0, sum: 0, squareSum: 0},
    new: {count: 0, sum: 0, squareSum: 0},
  };

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

  record({route, side, hasFailed, slowness}: VersionSample): void {
    this.routes.add(route);
    const counts = this.getOrCreateCounts(route, side);
    counts.requests += 1;
    if (hasFailed) counts.failures += 1;
    if (slowness !== undefined) addSlowness(this.slowness[side], slowness);
  }

  /** Counts the answers of one side on all routes. */
  countRequests(side: RolloutSide): number {
    return [...this.routes].reduce(
      (sum, route) => sum + (this.findCounts(route, side)?.requests ?? 0),
      0,
    );
  }

  /** Counts the failed answers of one side on all routes. */
  countFailures(side: RolloutSide): number {
    return [...this.routes].reduce(
      (sum, route) => sum + (this.findCounts(route, side)?.failures ?? 0),
      0,
    );
  }

  /** Finds a regression of the new version; undefined when there is none. */
  findRegression(): RegressionKind | undefined {
    const reason = this.findFailureRegression(REGRESSION_LOG_LIKELIHOOD_RATIO);
    return reason ?? (this.isSlow() ? 'slowness' : undefined);
  }

  /** True when the new version may be a regression; retries should avoid it. */
  isSuspect(): boolean {
    return (
      this.findFailureRegression(SUSPECT_LOG_LIKELIHOOD_RATIO) !== undefined
    );
  }

  /** Assesses the new version while it is sampled. */
  assess(): VersionAssessment {
    if (this.isDoubtful()) return 'doubtful';
    const {beforeShift} = DETECTABLE_FAILURE_RATE;
    const hasEnough =
      this.canShowFailures(beforeShift) && this.canShowSlowness();
    return hasEnough ? 'looksGood' : 'unknown';
  }

  /** True if a bad version would have been found, and this one looks good. */
  isSufficientForSuccess(): boolean {
    const {beforeSuccess} = DETECTABLE_FAILURE_RATE;
    return this.canShowFailures(beforeSuccess) && !this.isDoubtful();
  }

  /** True while the new version may turn out to fail. */
  isDoubtful(): boolean {
    return (
      this.findFailureRegression(DOUBTFUL_LOG_LIKELIHOOD_RATIO) !== undefined
    );
  }

  /** True if a version that fails at this rate would have been found by now. */
  private canShowFailures(failureRate: number): boolean {
    const strata = this.listFailureStrata().map(stratum => ({
      ...stratum,
      errors: stratum.requests * Math.max(failureRate, stratum.acceptedRate),
    }));
    const evidence = computeStratifiedErrorEvidence(strata);
    return evidence > DETECTION_MARGIN * REGRESSION_LOG_LIKELIHOOD_RATIO;
  }

  private canShowSlowness(): boolean {
    const isMeasured = this.slowness.old.count >= MIN_SLOWNESS_COUNT;
    return (
      !isMeasured || this.slowness.new.count >= SLOWNESS_COUNT_BEFORE_SHIFT
    );
  }

  private findFailureRegression(limit: number): RegressionKind | undefined {
    const strata = this.listFailureStrata();
    // A version may fail on one route only, or on all of them a little.
    const groups = [...strata.map(stratum => [stratum]), strata];
    const isFound = groups.some(
      group => computeStratifiedErrorEvidence(group) > limit,
    );
    return isFound ? 'failures' : undefined;
  }

  /** Lists the answers of the new version by route. */
  private listFailureStrata(): readonly ErrorStratum[] {
    const serviceRate = estimateFailureRate(
      {
        requests: this.countRequests('old'),
        failures: this.countFailures('old'),
      },
      USUAL_FAILURE_RATE,
      ASSUMED_RATE_COUNT.ofService,
    );
    return [...this.routes].flatMap(route => {
      const candidate = this.findCounts(route, 'new');
      if (candidate === undefined) return [];
      const baseline = this.findCounts(route, 'old') ?? NO_REQUESTS;
      const baselineRate = estimateFailureRate(
        baseline,
        serviceRate,
        ASSUMED_RATE_COUNT.ofRoute,
      );
      return {
        requests: candidate.requests,
        errors: candidate.failures,
        acceptedRate: baselineRate + FAILURE_RATE_TOLERANCE,
      };
    });
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
    const moments = this.slowness[side];
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
    const candidate = this.slowness.new;
    const baseline = this.slowness.old;
    const smallerCount = Math.min(candidate.count, baseline.count);
    if (smallerCount < MIN_SLOWNESS_COUNT) return undefined;
    const variance = varianceOfMean(candidate) + varianceOfMean(baseline);
    return {
      meanDifference: meanOf(candidate) - meanOf(baseline),
      standardError: Math.sqrt(variance),
    };
  }

  private findCounts(
    route: string,
    side: RolloutSide,
  ): RouteCounts | undefined {
    return this.countsByRouteAndSide.get(`${route}|${side}`);
  }

  private getOrCreateCounts(
    route: string,
    side: RolloutSide,
  ): MutableRouteCounts {
    const key = `${route}|${side}`;
    const known = this.countsByRouteAndSide.get(key);
    if (known !== undefined) return known;
    const counts = {requests: 0, failures: 0};
    this.countsByRouteAndSide.set(key, counts);
    return counts;
  }
}

/** Estimates a failure rate; few answers move it little from the assumed one. */
function estimateFailureRate(
  {requests, failures}: RouteCounts,
  assumedRate: number,
  assumedCount: number,
): number {
  return (failures + assumedCount * assumedRate) / (requests + assumedCount);
}

function addSlowness(moments: SlownessMoments, value: number): void {
  const {min, max} = SLOWNESS_RANGE;
  const bounded = clamp(value, min, max);
  moments.count += 1;
  moments.sum += bounded;
  moments.squareSum += bounded * bounded;
}

function meanOf({count, sum}: SlownessMoments): number {
  return sum / count;
}

function varianceOfMean(moments: SlownessMoments): number {
  const {count, squareSum} = moments;
  const squaredDeviations = squareSum - count * meanOf(moments) ** 2;
  const variance =
    (squaredDeviations + PRIOR_COUNT * PRIOR_VARIANCE) / (count + PRIOR_COUNT);
  return variance / count;
}
