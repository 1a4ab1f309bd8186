import {clamp} from '../utils/math.js';
import type {Random} from '../utils/random.js';
import {
  SHARE_POLICIES,
  type MemberUse,
  type SharePolicyName,
} from './share_policies.js';
import {TokenBucket} from './token_bucket.js';

/** The limit of one organisation over all entries. */
export interface OrganisationLimit {
  readonly organisation: string;
  readonly requestsPerS: number;
  readonly burst: number;
  readonly concurrent: number;
}

/** What an entry tells the others of its use of limits, in heartbeats. */
export interface LimitHeartbeat {
  readonly member: string;
  readonly uses: readonly OrganisationUse[];
}

/** Use of one organisation's limit. */
export interface OrganisationUse extends MemberUse {
  readonly organisation: string;
}

/** Whether a request is within the limit. */
export type LimitDecision =
  | {readonly isAllowed: true}
  | {readonly isAllowed: false; readonly retryAfterMs: number};

/** Options of {@link OrganisationLimiter}. */
export interface OrganisationLimiterOptions {
  /** `host/incarnation` of this entry. */
  readonly member: string;
  readonly random: Random;
  /** `demand-share`. */
  readonly policy?: SharePolicyName;
  /** Silence after which an entry's share is free again; 3000. */
  readonly memberTimeoutMs?: number;
}

interface LimitState {
  limit: OrganisationLimit;
  readonly bucket: TokenBucket;
  share: number;
  concurrentShare: number;
  inFlight: number;
  asked: number;
  demandPerS: number;
}

interface HeardMember {
  readonly heardMs: number;
  readonly uses: ReadonlyMap<string, MemberUse>;
}

const DEFAULT_MEMBER_TIMEOUT_MS = 3000;
const DEMAND_WEIGHT = 0.25;
const MS_PER_S = 1000;
const ROUNDING_ERROR = 1e-9;
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 30_000;
const ALLOWED: LimitDecision = {isAllowed: true};

/** Holds organisations to their limits at one entry. */
export class OrganisationLimiter {
  private readonly states = new Map<string, LimitState>();
  private readonly heard = new Map<string, HeardMember>();
  private memberCount = 1;
  private updatedMs: number | undefined;

  private constructor(
    private readonly options: Required<OrganisationLimiterOptions>,
  ) {}

  /**
   * Creates a limiter without limits, which allows everything.
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

  /** Replaces the limits; an organisation without one is not limited. */
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

  /** Counts a request against the limit; pair an allowed one with release. */
  tryAcquire(organisation: string, nowMs: number): LimitDecision {
    const state = this.states.get(organisation);
    if (state === undefined) return ALLOWED;
    state.asked += 1;
    const isFull = state.inFlight >= resolveConcurrent(state);
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

  /** Ends an allowed request. */
  release(organisation: string): void {
    const state = this.states.get(organisation);
    if (state !== undefined) state.inFlight = Math.max(0, state.inFlight - 1);
  }

  /** Takes in what another entry tells. */
  mergeHeartbeat(heartbeat: LimitHeartbeat, nowMs: number): void {
    if (heartbeat.member === this.options.member) return;
    const uses = new Map(heartbeat.uses.map(use => [use.organisation, use]));
    this.heard.set(heartbeat.member, {heardMs: nowMs, uses});
  }

  /**
   * Sets this entry's shares anew and gives what to tell the others; call it
   * at each heartbeat.
   *
   * @param memberCount Entries that are live by the host list, this one
   *     included; a silent one keeps its part until the timeout.
   */
  prepareHeartbeat(memberCount: number, nowMs: number): LimitHeartbeat {
    this.dropSilent(nowMs);
    this.memberCount = Math.max(memberCount, this.heard.size + 1);
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
      asked: 0,
      demandPerS: 0,
    };
  }

  private dropSilent(nowMs: number): void {
    for (const [member, {heardMs}] of this.heard) {
      if (nowMs - heardMs >= this.options.memberTimeoutMs) {
        this.heard.delete(member);
      }
    }
  }

  private updateDemand(state: LimitState, sinceMs: number): void {
    const askedPerS = (state.asked / Math.max(1, sinceMs)) * MS_PER_S;
    state.asked = 0;
    state.demandPerS += DEMAND_WEIGHT * (askedPerS - state.demandPerS);
  }

  private updateShare(state: LimitState, nowMs: number): void {
    const {organisation, requestsPerS, burst} = state.limit;
    const others = [...this.heard.values()]
      .map(({uses}) => uses.get(organisation))
      .filter(use => use !== undefined);
    const resolveShare = SHARE_POLICIES[this.options.policy];
    const own = {
      ownDemandPerS: state.demandPerS,
      memberCount: this.memberCount,
    };
    state.share = resolveShare({...own, limitPerS: requestsPerS, others});
    const held = others.map(({demandPerS, concurrentShare}) => ({
      demandPerS,
      share: concurrentShare,
    }));
    state.concurrentShare = resolveShare({
      ...own,
      limitPerS: undefined,
      others: held,
    });
    const size = Math.max(1, burst * state.share);
    state.bucket.resize(requestsPerS * state.share, size, nowMs);
  }
}

function resolveConcurrent({limit, concurrentShare}: LimitState): number {
  const part = limit.concurrent * concurrentShare;
  return Math.max(1, Math.floor(part + ROUNDING_ERROR));
}

// Requests that still run count as held, though the share has moved on.
function createUse(state: LimitState): OrganisationUse {
  const {limit, demandPerS, share, inFlight} = state;
  const running = inFlight / limit.concurrent;
  const concurrentShare = Math.max(state.concurrentShare, running);
  return {organisation: limit.organisation, demandPerS, share, concurrentShare};
}
