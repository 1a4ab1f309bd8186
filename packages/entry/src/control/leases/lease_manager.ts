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
export interface LeaseManagerOptions {
  readonly store: ObjectStore;
  readonly member: MemberId;
  /** Name of the duty, such as `billing-3` or `rollouts`. */
  readonly duty: string;
  /** How long a grant or renewal lasts; the same on every entry. */
  readonly leaseMs?: number;
  /** How much earlier the holder stops, to allow for clock drift. */
  readonly marginMs?: number;
  /** Monotonic time. */
  readonly nowMs?: () => number;
  /** Uniform between 0 and 1; spreads the renewals of many hosts. */
  readonly random?: () => number;
}

/** Permission to act for a duty for the remaining time. */
export interface LeaseGrant {
  /** Fencing number, to be included in each order. */
  readonly fencing: number;
  /** Time left on the monotonic clock of this process. */
  readonly remainingMs: number;
}

/** Acquires and renews the lease for one duty. */
export interface LeaseManager {
  /**
   * Returns the grant, or undefined when this process must not act. To be
   * called in the turn of the event loop in which an order is sent.
   */
  current(): LeaseGrant | undefined;
  /** Tries once to acquire or renew the lease; `start` does so periodically. */
  renewOrAcquire(): Promise<LeaseGrant | undefined>;
  /** Starts periodic attempts to acquire or renew the lease. */
  start(): void;
  /** Stops the attempts and releases the lease. */
  stop(): Promise<void>;
}

const DEFAULTS = {leaseMs: 15_000, marginMs: 1500} as const;

/**
 * Number of attempts within the duration of a lease. A renewal takes one call
 * to the object API, an acquisition two.
 */
const ATTEMPTS_PER_LEASE = 3;

/**
 * Creates the manager of one lease.
 *
 * @example
 * ```ts
 * const lease = createLeaseManager({store, member, duty: 'rollouts'});
 * lease.start();
 * const grant = lease.current();
 * if (grant !== undefined) sendOrder(grant.fencing);
 * ```
 */
export function createLeaseManager(options: LeaseManagerOptions): LeaseManager {
  return StoreLeaseManager.create(options);
}

class StoreLeaseManager implements LeaseManager {
  private state: LeaseState = INITIAL_LEASE_STATE;
  private attemptCount = 0;
  private timer: NodeJS.Timeout | undefined;
  private isStopped = false;
  private attemptInProgress: Promise<void> | undefined;

  private constructor(
    private readonly options: Required<LeaseManagerOptions>,
  ) {}

  static create(options: LeaseManagerOptions): StoreLeaseManager {
    return new StoreLeaseManager({
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
    this.attemptInProgress ??= this.runAttempt().finally(() => {
      this.attemptInProgress = undefined;
    });
    await this.attemptInProgress;
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
    await this.attemptInProgress?.catch(() => undefined);
    const {held} = this.state;
    this.state = INITIAL_LEASE_STATE;
    if (held === undefined) return;
    const key = resolveLeaseKey(this.options.duty);
    const protocol = releaseLease(key, held, this.createStamp());
    await runStoreProtocol(this.options.store, protocol);
  }

  private async runAttempt(): Promise<void> {
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
