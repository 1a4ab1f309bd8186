import {
  AdmissionController,
  RouterError,
  formatModelVersion,
  type AdmissionPolicyName,
  type DispatchOutcome,
  type ModelVersion,
  type Priority,
  type Random,
  type Rejection,
} from '@anvilrudder/core';

const EXPIRY_CHECK_PERIOD_MS = 50;
const MIN_CONCURRENCY = 2;

/** A request for admission to the servers of a version. */
export interface PermitRequest {
  readonly id: string;
  readonly priority: Priority;
  /** Deadline on the clock of `performance.now()`. */
  readonly deadlineAtMs: number;
  readonly signal: AbortSignal;
}

/** Permission for one request to run on the servers of a version. */
export interface Permit {
  /**
   * Returns the permit when the request ends; further calls have no effect.
   *
   * @param outcome Undefined when no outcome is to be recorded.
   */
  release(outcome: DispatchOutcome | undefined): void;
}

/** Options of {@link PoolAdmission}. */
export interface PoolAdmissionOptions {
  readonly random: Random;
  readonly policy: AdmissionPolicyName;
  readonly maxQueueSize: number;
  /** Returns this entry's share of the slots of a version's servers. */
  readonly resolveOwnSlots: (version: ModelVersion) => number;
}

interface Waiter {
  readonly resolve: () => void;
  readonly reject: (error: RouterError) => void;
}

interface Pool {
  readonly controller: AdmissionController;
  readonly waiters: Map<string, Waiter>;
  expiryTimer: NodeJS.Timeout | undefined;
}

/**
 * Admits requests to the servers of each version. A request is dispatched
 * immediately, waits in a bounded queue, or is rejected with a time after which
 * the caller may retry.
 */
export class PoolAdmission {
  private readonly pools = new Map<string, Pool>();

  private constructor(private readonly options: PoolAdmissionOptions) {}

  /**
   * Creates an admission without queues; a version's queue is created with the
   * first request for it.
   *
   * @example
   * ```ts
   * const permit = await admission.acquire(version, request);
   * permit.release({serviceMs, firstTokenMs, wasRefused: false});
   * ```
   */
  static create(options: PoolAdmissionOptions): PoolAdmission {
    return new PoolAdmission(options);
  }

  /** Number of requests in the queues of all versions. */
  get queuedCount(): number {
    let count = 0;
    for (const {controller} of this.pools.values()) {
      count += controller.queueSize;
    }
    return count;
  }

  /**
   * Waits until the request may be sent to the servers of the version.
   *
   * @throws RouterError `overloaded` when the request is rejected, or
   *     `deadline_exceeded` when its signal aborts while it is queued.
   */
  async acquire(
    version: ModelVersion,
    request: PermitRequest,
  ): Promise<Permit> {
    const pool = this.resolvePool(version);
    const {id, priority, deadlineAtMs} = request;
    const admission = pool.controller.offer(
      {id, priority, deadlineMs: deadlineAtMs},
      performance.now(),
    );
    if (admission.action === 'reject') {
      throw createOverloadError(admission.rejections[0]);
    }
    this.rejectAll(pool, admission.rejections);
    if (admission.action === 'queue') await this.wait(pool, request);
    return this.createPermit(pool);
  }

  private resolvePool(version: ModelVersion): Pool {
    const key = formatModelVersion(version);
    let pool = this.pools.get(key);
    if (pool === undefined) {
      const {random, policy, maxQueueSize} = this.options;
      const ownSlots = Math.ceil(this.options.resolveOwnSlots(version));
      pool = {
        controller: AdmissionController.create({
          random,
          policy,
          maxQueueSize,
          initialConcurrency: Math.max(MIN_CONCURRENCY, ownSlots),
        }),
        waiters: new Map(),
        expiryTimer: undefined,
      };
      this.pools.set(key, pool);
    }
    return pool;
  }

  private async wait(pool: Pool, request: PermitRequest): Promise<void> {
    const {id, signal} = request;
    const onAbort = (): void => {
      if (!pool.controller.cancel(id)) return;
      pool.waiters.get(id)?.reject(createDeadlineExceededError());
      pool.waiters.delete(id);
    };
    signal.addEventListener('abort', onAbort);
    try {
      await new Promise<void>((resolve, reject) => {
        pool.waiters.set(id, {resolve, reject});
        this.scheduleExpiryCheck(pool);
        if (signal.aborted) onAbort();
      });
    } finally {
      signal.removeEventListener('abort', onAbort);
    }
  }

  private createPermit(pool: Pool): Permit {
    let isEnded = false;
    return {
      release: outcome => {
        if (isEnded) return;
        isEnded = true;
        if (outcome === undefined) pool.controller.abandon();
        else pool.controller.finish(outcome, performance.now());
        this.dispatchReady(pool);
      },
    };
  }

  private dispatchReady(pool: Pool): void {
    const change = pool.controller.takeReady(performance.now());
    this.rejectAll(pool, change.rejections);
    for (const id of change.dispatched) {
      pool.waiters.get(id)?.resolve();
      pool.waiters.delete(id);
    }
  }

  private rejectAll(pool: Pool, rejections: readonly Rejection[]): void {
    for (const rejection of rejections) {
      pool.waiters.get(rejection.id)?.reject(createOverloadError(rejection));
      pool.waiters.delete(rejection.id);
    }
  }

  // Without this check, a queued request that can no longer meet its deadline
  // would be rejected only when the next running request ends.
  private scheduleExpiryCheck(pool: Pool): void {
    if (pool.expiryTimer !== undefined) return;
    pool.expiryTimer = setTimeout(() => {
      pool.expiryTimer = undefined;
      this.dispatchReady(pool);
      if (pool.waiters.size > 0) this.scheduleExpiryCheck(pool);
    }, EXPIRY_CHECK_PERIOD_MS);
    pool.expiryTimer.unref();
  }
}

function createOverloadError({retryAfterMs}: Rejection): RouterError {
  return RouterError.create('The predicted wait exceeds the deadline.', {
    code: 'overloaded',
    retryAfterMs,
  });
}

function createDeadlineExceededError(): RouterError {
  return RouterError.create('The deadline passed before the request ran.', {
    code: 'deadline_exceeded',
    execution: 'notRun',
  });
}
