import {computeErrorEvidence} from '../rollouts/sequential_test.js';
import {clamp} from '../utils/math.js';

/** The two sides of a roll-out. */
export type RolloutSide = 'old' | 'new';

/** What one answer says of the version that gave it. */
export interface VersionSample {
  /** Requests of the same route are compared with each other. */
  readonly route: string;
  readonly side: RolloutSide;
  readonly hasFailed: boolean;
  /**
   * Logarithm of the time that the answer took over the time that was
   * expected; undefined where nothing was expected.
   */
  readonly slowness: number | undefined;
}

/** Counts of one version on one route. */
interface RouteCounts {
  requests: number;
  failures: number;
}

/** Moments of the slowness of one version. */
interface SlownessMoments {
  count: number;
  sum: number;
  squareSum: number;
}

/** How much slower the new version is than the old one. */
interface SlownessDifference {
  readonly excess: number;
  readonly standardError: number;
}

/** Why the new version counts as bad. */
export type BadReason = 'failures' | 'slowness';

/** Likelihood ratio, as a logarithm, at which a version counts as bad. */
const BAD_LOG_RATIO = Math.log(2000);
/** The same for suspecting one, which costs little when it is wrong. */
const SUSPECT_LOG_RATIO = Math.log(5);
const FAILURE_TOLERANCE = 0.04;
/** Slowness over the old version's, as a logarithm, that is borne. */
const SLOWNESS_TOLERANCE = Math.log(1.3);
/** Standard errors beyond it at which a version counts as slow. */
const SLOWNESS_ERRORS = 3.7;
const MIN_SLOWNESS_COUNT = 6;
/** Slowness over the old version's that is not borne once sampling is over. */
const DOUBT_SLOWNESS = 0.3;
/** Standard errors that it has to exceed as well. */
const DOUBT_ERRORS = 2;
const PRIOR_VARIANCE = 0.4;
const PRIOR_COUNT = 4;
const SLOWNESS_RANGE = {least: -2, most: 3} as const;

/**
 * What this host has seen of the two versions in a roll-out, by route: a
 * version may be bad on one route alone.
 */
export class VersionEvidence {
  private readonly counts = new Map<string, RouteCounts>();
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
    const counts = this.countsOf(route, side);
    counts.requests += 1;
    if (hasFailed) counts.failures += 1;
    if (slowness !== undefined) addSlowness(this.slowness[side], slowness);
  }

  /** Answers of one side on all routes. */
  countRequests(side: RolloutSide): number {
    return [...this.routes].reduce(
      (sum, route) => sum + (this.find(route, side)?.requests ?? 0),
      0,
    );
  }

  /** Why the new version is bad, as far as this host can tell. */
  findRegression(): BadReason | undefined {
    const reason = this.findReason(BAD_LOG_RATIO);
    return reason ?? (this.isSlow() ? 'slowness' : undefined);
  }

  /** True when it may be bad, so that retries had better avoid it. */
  isSuspect(): boolean {
    return this.findReason(SUSPECT_LOG_RATIO) !== undefined;
  }

  private findReason(limit: number): BadReason | undefined {
    for (const route of this.routes) {
      const candidate = this.find(route, 'new');
      if (candidate === undefined) continue;
      const baseline = this.find(route, 'old');
      const failures = computeErrorEvidence({
        candidateRequests: candidate.requests,
        candidateErrors: candidate.failures,
        baselineRequests: baseline?.requests ?? 0,
        baselineErrors: baseline?.failures ?? 0,
        tolerance: FAILURE_TOLERANCE,
      });
      if (failures > limit) return 'failures';
    }
    return undefined;
  }

  /**
   * True when the new version looks slow, though chance may explain it. A
   * version that looks so at the end of sampling had better not get all work.
   */
  looksSlow(): boolean {
    const difference = this.compareSlowness();
    if (difference === undefined) return false;
    const {excess, standardError} = difference;
    return excess > Math.max(DOUBT_SLOWNESS, DOUBT_ERRORS * standardError);
  }

  /** Mean slowness of one side; undefined before any was seen. */
  readSlowness(side: RolloutSide): number | undefined {
    const moments = this.slowness[side];
    return moments.count === 0 ? undefined : meanOf(moments);
  }

  /** True when the new version takes longer than chance explains. */
  private isSlow(): boolean {
    const difference = this.compareSlowness();
    if (difference === undefined) return false;
    const {excess, standardError} = difference;
    return excess - SLOWNESS_TOLERANCE > SLOWNESS_ERRORS * standardError;
  }

  /** Undefined while too little was seen of either side. */
  private compareSlowness(): SlownessDifference | undefined {
    const candidate = this.slowness.new;
    const baseline = this.slowness.old;
    const least = Math.min(candidate.count, baseline.count);
    if (least < MIN_SLOWNESS_COUNT) return undefined;
    const variance = varianceOfMean(candidate) + varianceOfMean(baseline);
    return {
      excess: meanOf(candidate) - meanOf(baseline),
      standardError: Math.sqrt(variance),
    };
  }

  private find(route: string, side: RolloutSide): RouteCounts | undefined {
    return this.counts.get(`${route}|${side}`);
  }

  private countsOf(route: string, side: RolloutSide): RouteCounts {
    const key = `${route}|${side}`;
    const known = this.counts.get(key);
    if (known !== undefined) return known;
    const counts = {requests: 0, failures: 0};
    this.counts.set(key, counts);
    return counts;
  }
}

function addSlowness(moments: SlownessMoments, value: number): void {
  const {least, most} = SLOWNESS_RANGE;
  const bounded = clamp(value, least, most);
  moments.count += 1;
  moments.sum += bounded;
  moments.squareSum += bounded * bounded;
}

function meanOf({count, sum}: SlownessMoments): number {
  return sum / count;
}

function varianceOfMean(moments: SlownessMoments): number {
  const {count, squareSum} = moments;
  const spread = squareSum - count * meanOf(moments) ** 2;
  const variance =
    (spread + PRIOR_COUNT * PRIOR_VARIANCE) / (count + PRIOR_COUNT);
  return variance / count;
}
