import {formatModelVersion, type ModelVersion} from '../types/identity.js';
import type {Random} from '../utils/random.js';
import {SERVER_POLICIES, type ServerPolicyName} from './balancing_policies.js';
import {
  DEFAULT_EJECTION_SETTINGS,
  ejectIfFailing,
  type EjectionSettings,
} from './ejection.js';
import {
  recordTokenLatency,
  applyLoadReport,
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
  /** Failure domain of this entry (router instance). */
  readonly failureDomain: string;
  readonly random: Random;
  /** Default: `prefix-bounded`. */
  readonly policy?: ServerPolicyName;
  /** Load added to servers in other failure domains. Default: 0.05. */
  readonly crossDomainPenalty?: number;
  /**
   * Maximum load of a server preferred for a prefix, relative to the mean load
   * of the pool. Default: 1.25.
   */
  readonly loadBound?: number;
  readonly ejection?: Partial<EjectionSettings>;
}

const DEFAULTS = {
  policy: 'prefix-bounded',
  crossDomainPenalty: 0.05,
  loadBound: 1.25,
} as const satisfies Partial<BackendBalancerOptions>;

const NO_EXCLUSIONS: ReadonlySet<string> = new Set();

/** A request for which a server is picked. */
export interface PickRequest extends ModelVersion {
  /**
   * Key for prefix affinity; equal for requests whose prompts start with the
   * same text.
   */
  readonly prefixKey?: string;
  /** Ids of servers to which the request was already sent. */
  readonly excluded?: ReadonlySet<string>;
}

/** Picks the backend server for each attempt made by one entry. */
export class BackendBalancer {
  private readonly states = new Map<string, ServerState>();
  private readonly statesByVersion = new Map<string, ServerState[]>();
  private readonly poolsByVersion = new Map<string, VersionPool>();

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
   * Replaces the list of servers; the state of servers that remain in the list
   * is kept. Call it when the host list or a server's loaded versions change.
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
    this.rebuildPools();
  }

  /** Sets how many entries send to the same servers, this one included. */
  setEntryCount(count: number): void {
    this.entryCount = Math.max(1, count);
  }

  /** Adds or removes one source's mark that a server is leaving. */
  markLeaving(id: string, source: LeavingSource, isLeaving: boolean): void {
    const sources = this.states.get(id)?.leavingSources;
    if (isLeaving) sources?.add(source);
    else sources?.delete(source);
  }

  /** Updates the state of a server from its load report. */
  observeReport(id: string, report: LoadReport): void {
    const state = this.states.get(id);
    if (state !== undefined) applyLoadReport(state, report);
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
    const {failureDomain, crossDomainPenalty, loadBound, random} = this.options;
    const state = SERVER_POLICIES[this.options.policy]({
      pool,
      failureDomain,
      crossDomainPenalty,
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

  /**
   * Ends an attempt and records its outcome; ejects the server when its
   * failures or its token latency exceed the limits.
   */
  finish(id: string, outcome: AttemptOutcome, nowMs: number): void {
    const state = this.states.get(id);
    if (state === undefined) return;
    state.inFlight = Math.max(0, state.inFlight - 1);
    countFailures(state, outcome);
    // Answers that arrive during an ejection began before it and do not show
    // how the server performs afterwards.
    if (outcome.tokenLatencyMs !== undefined && nowMs >= state.ejectedUntilMs) {
      recordTokenLatency(state, outcome.tokenLatencyMs);
    }
    const pools = this.listPools(state);
    ejectIfFailing(state, pools, this.ejection, nowMs, this.options.random);
  }

  /** Counts the available servers of a version. */
  countAvailable(version: ModelVersion, nowMs: number): number {
    const states = this.statesByVersion.get(formatModelVersion(version)) ?? [];
    return states.filter(state => isAvailable(state, nowMs)).length;
  }

  /** Sums the slots of the available servers of a version. */
  countSlots(version: ModelVersion, nowMs: number): number {
    return (this.statesByVersion.get(formatModelVersion(version)) ?? [])
      .filter(state => isAvailable(state, nowMs))
      .reduce((sum, {slots}) => sum + slots, 0);
  }

  private listPools(state: ServerState): readonly VersionPool[] {
    return state.server.loaded
      .map(version => this.findPool(version))
      .filter(pool => pool !== undefined);
  }

  private rebuildPools(): void {
    this.statesByVersion.clear();
    for (const state of this.states.values()) {
      for (const version of state.server.loaded) {
        const key = formatModelVersion(version);
        const states = this.statesByVersion.get(key);
        if (states === undefined) this.statesByVersion.set(key, [state]);
        else states.push(state);
      }
    }
    for (const [key, pool] of this.poolsByVersion) {
      const isKept = pool.hasSameServers(this.statesByVersion.get(key) ?? []);
      if (!isKept) this.poolsByVersion.delete(key);
    }
  }

  // Builds a hash ring lazily, on the next request for its version, so that a
  // change of many servers does not block the event loop for long.
  private findPool(version: ModelVersion): VersionPool | undefined {
    const key = formatModelVersion(version);
    const known = this.poolsByVersion.get(key);
    if (known !== undefined) return known;
    const states = this.statesByVersion.get(key);
    if (states === undefined) return undefined;
    const pool = VersionPool.create(states);
    this.poolsByVersion.set(key, pool);
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
