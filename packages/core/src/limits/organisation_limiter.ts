import {clamp} from '../utils/math.js';
import type {Random} from '../utils/random.js';
import {
  SHARE_POLICIES,
  type MemberUse,
  type SharePolicyName,
} from './share_policies.js';
import {TokenBucket} from './token_bucket.js';

/** Limits of one organisation over all entries together. */
export interface OrganisationLimit {
  readonly organisation: string;
  readonly requestsPerS: number;
  /** Size of the token bucket, in requests. */
  readonly burst: number;
  /** Maximum number of requests in flight. */
  readonly concurrent: number;
}

/** Usage of limits by one entry, sent to the other entries in heartbeats. */
export interface LimitHeartbeat {
  readonly member: string;
  readonly uses: readonly OrganisationUse[];
}

/** Usage of one organisation's limit. */
export interface OrganisationUse extends MemberUse {
  readonly organisation: string;
}

/** Whether a request is within the limit; if not, when to retry. */
export type LimitDecision =
  | {readonly isAllowed: true}
  | {readonly isAllowed: false; readonly retryAfterMs: number};

/** Options of {@link OrganisationLimiter}. */
export interface OrganisationLimiterOptions {
  /** `host/incarnation` of this entry. */
  readonly member: string;
  readonly random: Random;
  /** Default: `demand-share`. */
  readonly policy?: SharePolicyName;
  /**
   * Time without a heartbeat after which an entry's share is available to
   * others. Default: 3000.
   */
  readonly memberTimeoutMs?: number;
}

interface LimitState {
  limit: OrganisationLimit;
  readonly bucket: TokenBucket;
  share: number;
  concurrentShare: number;
  inFlight: number;
  requestsSinceUpdate: number;
  demandPerS: number;
}

interface PeerUses {
  readonly receivedMs: number;
  readonly uses: ReadonlyMap<string, MemberUse>;
}

const DEFAULT_MEMBER_TIMEOUT_MS = 3000;
/** Weight of the newest sample in the moving average of demand. */
const DEMAND_WEIGHT = 0.25;
const MS_PER_S = 1000;
/** Time for which late heartbeats of a replaced run are ignored. */
const REPLACED_MEMORY_MS = 60_000;
const ROUNDING_ERROR = 1e-9;
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 30_000;
const ALLOWED: LimitDecision = {isAllowed: true};

/** Enforces one entry's share of the limits of organisations. */
export class OrganisationLimiter {
  private readonly states = new Map<string, LimitState>();
  private readonly peers = new Map<string, PeerUses>();
  /** Earlier runs of other hosts, with the time at which a later one was seen. */
  private readonly replacedMembers = new Map<string, number>();
  private memberCount = 1;
  private updatedMs: number | undefined;

  private constructor(
    private readonly options: Required<OrganisationLimiterOptions>,
  ) {}

  /**
   * Creates a limiter without limits, which allows every request.
   *
   * @example
   * ```ts
   * const limiter = OrganisationLimiter.create({member: 'a/1', random});
   * ```
   */
  static create(options: OrganisationLimiterOptions): OrganisationLimiter {
    return new OrganisationLimiter({
      policy: 'demand-share',
      memberTimeoutMs: DEFAULT_MEMBER_TIMEOUT_MS,
      ...options,
    });
  }

  /** Replaces all limits; organisations without a limit are not limited. */
  updateLimits(limits: readonly OrganisationLimit[], nowMs: number): void {
    const names = new Set(limits.map(({organisation}) => organisation));
    for (const name of this.states.keys()) {
      if (!names.has(name)) this.states.delete(name);
    }
    for (const limit of limits) {
      const known = this.states.get(limit.organisation);
      if (known !== undefined) known.limit = limit;
      else this.states.set(limit.organisation, this.createState(limit, nowMs));
    }
  }

  /**
   * Counts a request against the limit. Call {@link release} when an allowed
   * request ends.
   */
  tryAcquire(organisation: string, nowMs: number): LimitDecision {
    const state = this.states.get(organisation);
    if (state === undefined) return ALLOWED;
    state.requestsSinceUpdate += 1;
    const isFull = state.inFlight >= computeConcurrentLimit(state);
    if (!isFull && state.bucket.tryTake(nowMs)) {
      state.inFlight += 1;
      return ALLOWED;
    }
    const waitMs = isFull ? MS_PER_S : state.bucket.readWaitMs();
    const jitteredMs = waitMs * (1 + this.options.random());
    const retryAfterMs = clamp(
      jitteredMs,
      MIN_RETRY_AFTER_MS,
      MAX_RETRY_AFTER_MS,
    );
    return {isAllowed: false, retryAfterMs: Math.ceil(retryAfterMs)};
  }

  /** Records the end of an allowed request. */
  release(organisation: string): void {
    const state = this.states.get(organisation);
    if (state !== undefined) state.inFlight = Math.max(0, state.inFlight - 1);
  }

  /**
   * Records the usage reported by another entry. The share of an earlier run on
   * the same host is free at once.
   */
  mergeHeartbeat(heartbeat: LimitHeartbeat, nowMs: number): void {
    if (heartbeat.member === this.options.member) return;
    if (this.replacedMembers.has(heartbeat.member)) return;
    this.replaceEarlierRuns(heartbeat.member, nowMs);
    const uses = new Map(heartbeat.uses.map(use => [use.organisation, use]));
    this.peers.set(heartbeat.member, {receivedMs: nowMs, uses});
  }

  /**
   * Recomputes this entry's shares and returns the usage to send to the other
   * entries. Call this once per heartbeat.
   *
   * @param memberCount Number of live entries according to the host list,
   *     including this one. An entry that sends no heartbeats keeps its share
   *     until the timeout.
   */
  prepareHeartbeat(memberCount: number, nowMs: number): LimitHeartbeat {
    this.dropTimedOutPeers(nowMs);
    this.memberCount = Math.max(memberCount, this.peers.size + 1);
    const sinceMs = nowMs - (this.updatedMs ?? nowMs - MS_PER_S);
    this.updatedMs = nowMs;
    const uses = [...this.states.values()].map(state => {
      this.updateDemand(state, sinceMs);
      this.updateShare(state, nowMs);
      return createUse(state);
    });
    return {member: this.options.member, uses};
  }

  private createState(limit: OrganisationLimit, nowMs: number): LimitState {
    const share = 1 / Math.max(1, this.memberCount);
    const size = Math.max(1, limit.burst * share);
    return {
      limit,
      bucket: TokenBucket.create(limit.requestsPerS * share, size, nowMs),
      share,
      concurrentShare: share,
      inFlight: 0,
      requestsSinceUpdate: 0,
      demandPerS: 0,
    };
  }

  private replaceEarlierRuns(member: string, nowMs: number): void {
    if (this.peers.has(member)) return;
    const host = readHost(member);
    for (const known of this.peers.keys()) {
      if (readHost(known) !== host) continue;
      this.peers.delete(known);
      this.replacedMembers.set(known, nowMs);
    }
  }

  private dropTimedOutPeers(nowMs: number): void {
    for (const [member, replacedMs] of this.replacedMembers) {
      if (nowMs - replacedMs >= REPLACED_MEMORY_MS) {
        this.replacedMembers.delete(member);
      }
    }
    for (const [member, {receivedMs}] of this.peers) {
      if (nowMs - receivedMs >= this.options.memberTimeoutMs) {
        this.peers.delete(member);
      }
    }
  }

  private updateDemand(state: LimitState, sinceMs: number): void {
    const requestRatePerS =
      (state.requestsSinceUpdate / Math.max(1, sinceMs)) * MS_PER_S;
    state.requestsSinceUpdate = 0;
    state.demandPerS += DEMAND_WEIGHT * (requestRatePerS - state.demandPerS);
  }

  private updateShare(state: LimitState, nowMs: number): void {
    const {organisation, requestsPerS, burst} = state.limit;
    const others = [...this.peers.values()]
      .map(({uses}) => uses.get(organisation))
      .filter(use => use !== undefined);
    const resolveShare = SHARE_POLICIES[this.options.policy];
    const own = {
      ownDemandPerS: state.demandPerS,
      memberCount: this.memberCount,
    };
    state.share = resolveShare({
      ...own,
      ownShare: state.share,
      limitPerS: requestsPerS,
      others,
    });
    const othersConcurrent = others.map(({demandPerS, concurrentShare}) => ({
      demandPerS,
      share: concurrentShare,
    }));
    state.concurrentShare = resolveShare({
      ...own,
      ownShare: state.concurrentShare,
      limitPerS: undefined,
      others: othersConcurrent,
    });
    const size = Math.max(1, burst * state.share);
    state.bucket.resize(requestsPerS * state.share, size, nowMs);
  }
}

/** Reads the host of a member `host/incarnation`. */
function readHost(member: string): string {
  const separator = member.lastIndexOf('/');
  return separator < 0 ? member : member.slice(0, separator);
}

function computeConcurrentLimit({limit, concurrentShare}: LimitState): number {
  const part = limit.concurrent * concurrentShare;
  return Math.max(1, Math.floor(part + ROUNDING_ERROR));
}

// Running requests count towards the reported share even if the entry's share
// has become smaller in the meantime.
function createUse(state: LimitState): OrganisationUse {
  const {limit, demandPerS, share, inFlight} = state;
  const runningShare = inFlight / limit.concurrent;
  const concurrentShare = Math.max(state.concurrentShare, runningShare);
  return {organisation: limit.organisation, demandPerS, share, concurrentShare};
}
