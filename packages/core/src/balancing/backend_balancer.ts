import {formatModelVersion, type ModelVersion} from '../types/identity.js';
import type {Random} from '../utils/random.js';
import {SERVER_POLICIES, type ServerPolicyName} from './balancing_policies.js';
import {
  DEFAULT_EJECTION_SETTINGS,
  ejectIfFailing,
  type EjectionSettings,
} from './ejection.js';
import {
  applyPace,
  applyReport,
  createServerState,
  isAvailable,
  type AttemptOutcome,
  type BackendServer,
  type LeavingSource,
  type LoadReport,
  type ServerState,
} from './server_state.js';
import {VersionPool} from './version_pool.js';

/** Options of {@link BackendBalancer}. */
export interface BackendBalancerOptions {
  /** Failure domain of this entry. */
  readonly failureDomain: string;
  readonly random: Random;
  /** `prefix-bounded`. */
  readonly policy?: ServerPolicyName;
  /** Load that a crossing of failure domains must save; 0.05. */
  readonly crossingPenalty?: number;
  /** Load of a prefix's home over the mean that still takes work; 1.25. */
  readonly loadBound?: number;
  readonly ejection?: Partial<EjectionSettings>;
}

const DEFAULTS = {
  policy: 'prefix-bounded',
  crossingPenalty: 0.05,
  loadBound: 1.25,
} as const satisfies Partial<BackendBalancerOptions>;

const NO_EXCLUSIONS: ReadonlySet<string> = new Set();

/** A request that needs a server. */
export interface PickRequest extends ModelVersion {
  /** Begins equal for requests that share cached work. */
  readonly prefixKey?: string;
  /** Ids of servers that the request already tried. */
  readonly excluded?: ReadonlySet<string>;
}

/** Chooses the backend server of each attempt, for one entry. */
export class BackendBalancer {
  private readonly states = new Map<string, ServerState>();
  private readonly members = new Map<string, ServerState[]>();
  private readonly pools = new Map<string, VersionPool>();

  private entryCount = 1;

  private constructor(
    private readonly options: Required<BackendBalancerOptions>,
    private readonly ejection: EjectionSettings,
  ) {}

  /**
   * Creates a balancer without servers.
   *
   * @example
   * ```ts
   * const balancer = BackendBalancer.create({failureDomain: 'a', random});
   * ```
   */
  static create(options: BackendBalancerOptions): BackendBalancer {
    const resolved = {...DEFAULTS, ejection: {}, ...options};
    const ejection = {...DEFAULT_EJECTION_SETTINGS, ...resolved.ejection};
    return new BackendBalancer(resolved, ejection);
  }

  /**
   * Replaces the servers; what is known of those that stay is kept. Call it
   * when the host list or a server's loaded versions change.
   */
  updateServers(servers: readonly BackendServer[]): void {
    const before = new Map(this.states);
    this.states.clear();
    for (const server of servers) {
      const known = before.get(server.id);
      const state = known ?? createServerState(server);
      state.server = server;
      this.states.set(server.id, state);
    }
    this.regroup();
  }

  /** Tells how many entries send to the same servers, this one included. */
  setEntryCount(count: number): void {
    this.entryCount = Math.max(1, count);
  }

  /** Marks a server as leaving, or takes back the word of one source. */
  markLeaving(id: string, source: LeavingSource, isLeaving: boolean): void {
    const sources = this.states.get(id)?.leavingSources;
    if (isLeaving) sources?.add(source);
    else sources?.delete(source);
  }

  /** Takes in a load report. */
  observeReport(id: string, report: LoadReport): void {
    const state = this.states.get(id);
    if (state !== undefined) applyReport(state, report);
  }

  /**
   * Picks a server and counts the request as in flight there; call
   * {@link finish} when the attempt ends.
   *
   * @returns undefined when no server can take the request.
   */
  pick(request: PickRequest, nowMs: number): string | undefined {
    const pool = this.findPool(request);
    if (pool === undefined) return undefined;
    const {failureDomain, crossingPenalty, loadBound, random} = this.options;
    const state = SERVER_POLICIES[this.options.policy]({
      pool,
      failureDomain,
      crossingPenalty,
      loadBound,
      entryCount: this.entryCount,
      prefixKey: request.prefixKey,
      excluded: request.excluded ?? NO_EXCLUSIONS,
      nowMs,
      random,
    });
    if (state === undefined) return undefined;
    state.inFlight += 1;
    return state.server.id;
  }

  /** Takes in the end of an attempt. */
  finish(id: string, outcome: AttemptOutcome, nowMs: number): void {
    const state = this.states.get(id);
    if (state === undefined) return;
    state.inFlight = Math.max(0, state.inFlight - 1);
    countFailures(state, outcome);
    // Answers that began before an ejection say nothing about the return.
    if (outcome.tokenLatencyMs !== undefined && nowMs >= state.ejectedUntilMs) {
      applyPace(state, outcome.tokenLatencyMs);
    }
    const pools = this.listPools(state);
    ejectIfFailing(state, pools, this.ejection, nowMs, this.options.random);
  }

  /** Number of servers that may get new work for a version. */
  countAvailable(version: ModelVersion, nowMs: number): number {
    const states = this.members.get(formatModelVersion(version)) ?? [];
    return states.filter(state => isAvailable(state, nowMs)).length;
  }

  /** Slots of the servers that may get new work for a version. */
  countSlots(version: ModelVersion, nowMs: number): number {
    return (this.members.get(formatModelVersion(version)) ?? [])
      .filter(state => isAvailable(state, nowMs))
      .reduce((sum, {slots}) => sum + slots, 0);
  }

  private listPools(state: ServerState): readonly VersionPool[] {
    return state.server.loaded
      .map(version => this.findPool(version))
      .filter(pool => pool !== undefined);
  }

  private regroup(): void {
    this.members.clear();
    for (const state of this.states.values()) {
      for (const version of state.server.loaded) {
        const key = formatModelVersion(version);
        const states = this.members.get(key);
        if (states === undefined) this.members.set(key, [state]);
        else states.push(state);
      }
    }
    for (const [key, pool] of this.pools) {
      const isKept = pool.hasMembers(this.members.get(key) ?? []);
      if (!isKept) this.pools.delete(key);
    }
  }

  // A ring is built when the version is next asked for, so that a change of
  // many servers does not block the loop for long.
  private findPool(version: ModelVersion): VersionPool | undefined {
    const key = formatModelVersion(version);
    const known = this.pools.get(key);
    if (known !== undefined) return known;
    const states = this.members.get(key);
    if (states === undefined) return undefined;
    const pool = VersionPool.create(states);
    this.pools.set(key, pool);
    return pool;
  }
}

function countFailures(state: ServerState, outcome: AttemptOutcome): void {
  const {isFailure, isUnreachable = false} = outcome;
  state.consecutiveFailures = isFailure ? state.consecutiveFailures + 1 : 0;
  state.consecutiveUnreachable = isUnreachable
    ? state.consecutiveUnreachable + 1
    : 0;
}
