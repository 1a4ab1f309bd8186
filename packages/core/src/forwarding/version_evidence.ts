import {computeErrorEvidence} from '../rollouts/sequential_test.js';

/** The two sides of a roll-out. */
export type RolloutSide = 'old' | 'new';

/** What one answer says of the version that gave it. */
export interface VersionSample {
  /** Requests of the same route are compared with each other. */
  readonly route: string;
  readonly side: RolloutSide;
  readonly hasFailed: boolean;
  /** Time for each event, or for the whole answer of a plain service. */
  readonly paceMs: number | undefined;
}

/** Counts of one version on one route. */
interface RouteCounts {
  requests: number;
  failures: number;
  paced: number;
  slow: number;
  /** Mean of the logarithm of the pace. */
  logPaceMean: number;
}

/** Why the new version counts as bad. */
export type BadReason = 'failures' | 'slowness';

/** Likelihood ratio, as a logarithm, at which a version counts as bad. */
const BAD_LOG_RATIO = Math.log(2000);
/** The same for suspecting one, which costs little when it is wrong. */
const SUSPECT_LOG_RATIO = Math.log(5);
const FAILURE_TOLERANCE = 0.04;
const SLOW_TOLERANCE = 0.1;
/** Pace over the mean of the old version that counts as slow. */
const SLOW_FACTOR = 3;
/** Old answers before the pace of new ones is judged. */
const MIN_PACED = 5;
const PACE_WEIGHT = 0.05;
const LEAST_PACE_MS = 0.01;

/**
 * What this host has seen of the two versions in a roll-out, by route: a
 * version may be bad on one route alone.
 */
export class VersionEvidence {
  private readonly counts = new Map<string, RouteCounts>();
  private readonly routes = new Set<string>();

  private constructor() {}

  /**
   * @example
   * ```ts
   * const evidence = VersionEvidence.create();
   * evidence.record({route: 'a', side: 'new', hasFailed: true, paceMs: undefined});
   * evidence.findBadReason();
   * ```
   */
  static create(): VersionEvidence {
    return new VersionEvidence();
  }

  record({route, side, hasFailed, paceMs}: VersionSample): void {
    this.routes.add(route);
    const counts = this.countsOf(route, side);
    counts.requests += 1;
    if (hasFailed) counts.failures += 1;
    if (paceMs !== undefined) this.recordPace(route, side, paceMs);
  }

  /** Answers of one side on all routes. */
  countRequests(side: RolloutSide): number {
    return [...this.routes].reduce(
      (sum, route) => sum + (this.find(route, side)?.requests ?? 0),
      0,
    );
  }

  /** Why the new version is bad, as far as this host can tell. */
  findBadReason(): BadReason | undefined {
    return this.findReason(BAD_LOG_RATIO);
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
      const slowness = computeErrorEvidence({
        candidateRequests: candidate.paced,
        candidateErrors: candidate.slow,
        baselineRequests: baseline?.paced ?? 0,
        baselineErrors: baseline?.slow ?? 0,
        tolerance: SLOW_TOLERANCE,
      });
      if (slowness > limit) return 'slowness';
    }
    return undefined;
  }

  // Slow is what exceeds the old version's usual pace, for both versions.
  private recordPace(route: string, side: RolloutSide, paceMs: number): void {
    const logPace = Math.log(Math.max(paceMs, LEAST_PACE_MS));
    const baseline = this.countsOf(route, 'old');
    const counts = this.countsOf(route, side);
    if (baseline.paced >= MIN_PACED) {
      counts.paced += 1;
      const excess = logPace - baseline.logPaceMean;
      if (excess > Math.log(SLOW_FACTOR)) counts.slow += 1;
    } else if (side === 'old') counts.paced += 1;
    if (side === 'new') return;
    const weight = Math.max(PACE_WEIGHT, 1 / baseline.paced);
    baseline.logPaceMean += weight * (logPace - baseline.logPaceMean);
  }

  private find(route: string, side: RolloutSide): RouteCounts | undefined {
    return this.counts.get(`${route}|${side}`);
  }

  private countsOf(route: string, side: RolloutSide): RouteCounts {
    const key = `${route}|${side}`;
    const known = this.counts.get(key);
    if (known !== undefined) return known;
    const counts = {
      requests: 0,
      failures: 0,
      paced: 0,
      slow: 0,
      logPaceMean: 0,
    };
    this.counts.set(key, counts);
    return counts;
  }
}
