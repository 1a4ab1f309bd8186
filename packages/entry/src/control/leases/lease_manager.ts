import {
  renewOrAcquireLease,
  INITIAL_LEASE_STATE,
  releaseLease,
  resolveLeaseKey,
  type LeaseProtocol,
  type LeaseReply,
  type LeaseState,
  type MemberId,
  type ObjectStore,
} from '@anvilrudder/core';
import {runStoreProtocol, runStoreStep} from '../steps/run_store_protocol.js';

/** Options of {@link createLeaseManager}. */
export interface LeaseKeeperOptions {
  readonly store: ObjectStore;
  readonly member: MemberId;
  /** Names the duty, such as `billing-3` or `rollouts`. */
  readonly duty: string;
  /** How long a grant lasts; the same on every entry. */
  readonly leaseMs?: number;
  /** How much earlier the holder stops, for the drift of clocks. */
  readonly marginMs?: number;
  /** Monotonic time. */
  readonly nowMs?: () => number;
  /** Uniform between 0 and 1; spreads the calls of many hosts. */
  readonly random?: () => number;
}

/** The right to act for a duty at this moment. */
export interface LeaseGrant {
  /** To be carried by each order. */
  readonly fencing: number;
  /** Time left by the monotonic clock of this process. */
  readonly remainingMs: number;
}

/** Gets and keeps the lease of one duty. */
export interface LeaseManager {
  /**
   * The grant, or undefined when this process must not act. To be asked in
   * the same turn as the first byte of an order.
   */
  current(): LeaseGrant | undefined;
  /** Tries once to get or renew the lease; `start` does so regularly. */
  renewOrAcquire(): Promise<LeaseGrant | undefined>;
  start(): void;
  /** Stops trying and gives the lease up. */
  stop(): Promise<void>;
}

const DEFAULTS = {leaseMs: 15_000, marginMs: 1500} as const;

/** Attempts in one lease; each is one call, or two to take it. */
const ATTEMPTS_PER_LEASE = 3;

/**
 * Creates the keeper of one lease.
 *
 * @example
 * ```ts
 * const lease = createLeaseManager({store, member, duty: 'rollouts'});
 * lease.start();
 * const grant = lease.current();
 * if (grant !== undefined) sendOrder(grant.fencing);
 * ```
 */
export function createLeaseManager(options: LeaseKeeperOptions): LeaseManager {
  return StoreLeaseKeeper.create(options);
}

class StoreLeaseKeeper implements LeaseManager {
  private state: LeaseState = INITIAL_LEASE_STATE;
  private attemptCount = 0;
  private timer: NodeJS.Timeout | undefined;
  private isStopped = false;
  private advancing: Promise<void> | undefined;

  private constructor(private readonly options: Required<LeaseKeeperOptions>) {}

  static create(options: LeaseKeeperOptions): StoreLeaseKeeper {
    return new StoreLeaseKeeper({
      ...DEFAULTS,
      nowMs: () => performance.now(),
      random: Math.random,
      ...options,
    });
  }

  current(): LeaseGrant | undefined {
    const {held} = this.state;
    if (held === undefined || this.isStopped) return undefined;
    const remainingMs = held.validUntilMs - this.options.nowMs();
    if (remainingMs <= 0) return undefined;
    return {fencing: held.lease.fencing, remainingMs};
  }

  async renewOrAcquire(): Promise<LeaseGrant | undefined> {
    this.advancing ??= this.advanceOnce().finally(() => {
      this.advancing = undefined;
    });
    await this.advancing;
    return this.current();
  }

  start(): void {
    if (this.isStopped) return;
    const {leaseMs, random} = this.options;
    const delayMs = (leaseMs / ATTEMPTS_PER_LEASE) * (0.75 + random() / 4);
    void this.renewOrAcquire().catch(() => undefined);
    this.timer = setTimeout(() => this.start(), delayMs);
    this.timer.unref();
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.timer);
    await this.advancing?.catch(() => undefined);
    const {held} = this.state;
    this.state = INITIAL_LEASE_STATE;
    if (held === undefined) return;
    const key = resolveLeaseKey(this.options.duty);
    const protocol = releaseLease(key, held, this.createStamp());
    await runStoreProtocol(this.options.store, protocol);
  }

  private async advanceOnce(): Promise<void> {
    const {store, member, duty, leaseMs, marginMs, nowMs} = this.options;
    const attempt = {
      key: resolveLeaseKey(duty),
      member,
      leaseMs,
      marginMs,
      stamp: this.createStamp(),
    };
    const protocol = renewOrAcquireLease(attempt, this.state);
    this.state = await runLeaseProtocol(store, nowMs, protocol);
  }

  private createStamp(): string {
    this.attemptCount += 1;
    return `${this.options.member.incarnation}/${this.attemptCount}`;
  }
}

async function runLeaseProtocol<T>(
  store: ObjectStore,
  nowMs: () => number,
  protocol: LeaseProtocol<T>,
): Promise<T> {
  let state = protocol.next();
  while (!state.done) {
    const step = state.value;
    const reply: LeaseReply =
      step.kind === 'now'
        ? {kind: 'time', nowMs: nowMs()}
        : await runStoreStep(store, step);
    state = protocol.next(reply);
  }
  return state.value;
}
