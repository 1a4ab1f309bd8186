import type {Priority} from '../rules/rule_set.js';
import {clamp} from '../utils/math.js';
import type {Random} from '../utils/random.js';
import {ConcurrencyLimit, type DispatchOutcome} from './concurrency_limit.js';
import {PriorityQueue, type QueuedRequest} from './priority_queue.js';

/** State that a policy uses to decide whether a request may be queued. */
export interface AdmissionContext {
  readonly queueSize: number;
  readonly maxQueueSize: number;
  /** Predicted time until the request is dispatched. */
  readonly predictedWaitMs: number;
  /** Expected time from dispatch to the end of the answer. */
  readonly expectedServiceMs: number;
  /** Time left until the deadline of the request. */
  readonly remainingMs: number;
}

/** Rules for queueing requests and limiting concurrency. */
export interface AdmissionPolicy {
  readonly canQueue: (context: AdmissionContext) => boolean;
  /** True when queued requests that cannot meet their deadline are rejected. */
  readonly dropsLate: boolean;
  /** True when the number of requests in flight is limited. */
  readonly limitsConcurrency: boolean;
  /** True when a full queue rejects a lower priority to admit a higher one. */
  readonly displacesLowerPriority: boolean;
}

/** Admission policies, by the name that the settings use. */
export const ADMISSION_POLICIES = {
  unbounded: {
    canQueue: () => true,
    dropsLate: false,
    limitsConcurrency: false,
    displacesLowerPriority: false,
  },
  'bounded-queue': {
    canQueue: ({queueSize, maxQueueSize}) => queueSize < maxQueueSize,
    dropsLate: false,
    limitsConcurrency: true,
    displacesLowerPriority: false,
  },
  predictive: {
    canQueue: context =>
      context.queueSize < context.maxQueueSize &&
      context.predictedWaitMs + context.expectedServiceMs <=
        context.remainingMs,
    dropsLate: true,
    limitsConcurrency: true,
    displacesLowerPriority: true,
  },
} as const satisfies Record<string, AdmissionPolicy>;

export type AdmissionPolicyName = keyof typeof ADMISSION_POLICIES;

/** Options of {@link AdmissionController}. */
export interface AdmissionOptions {
  readonly random: Random;
  /** Default: `predictive`. */
  readonly policy?: AdmissionPolicyName;
  /**
   * Initial concurrency limit, and the lower bound when the limit shrinks
   * because of high first-token latency: this entry's share of the pool's
   * slots. Default: 16.
   */
  readonly initialConcurrency?: number;
  /** Lower bound when the limit shrinks because of refusals. Default: 2. */
  readonly minConcurrency?: number;
  /** Upper bound of the concurrency limit. Default: 1024. */
  readonly maxConcurrency?: number;
  /** Maximum number of queued requests. Default: 512. */
  readonly maxQueueSize?: number;
  /** Service time assumed before any answer was observed. Default: 2000. */
  readonly initialServiceMs?: number;
}

const DEFAULTS = {
  policy: 'predictive',
  initialConcurrency: 16,
  minConcurrency: 2,
  maxConcurrency: 1024,
  maxQueueSize: 512,
  initialServiceMs: 2000,
} as const satisfies Partial<AdmissionOptions>;

const SERVICE_TIME_WEIGHT = 0.05;
const SERVICE_TIME_MARGIN = 2;
const MIN_RETRY_AFTER_MS = 250;
const MAX_RETRY_AFTER_MS = 30_000;
const MIN_JITTER = 0.5;

/** A rejected request; its caller is notified immediately. */
export interface Rejection {
  readonly id: string;
  /** Time after which the caller may retry, with jitter. */
  readonly retryAfterMs: number;
}

/** Admission decision for a new request. */
export interface Admission {
  readonly action: 'dispatch' | 'queue' | 'reject';
  /** The request itself, or the queued request that it displaced. */
  readonly rejections: readonly Rejection[];
}

/** Requests removed from the queue. */
export interface QueueChange {
  readonly dispatched: readonly string[];
  readonly rejections: readonly Rejection[];
}

/**
 * Admits requests for one pool of backend servers at one entry (router
 * instance). Every dispatched request must be ended with {@link finish} or
 * {@link abandon}; {@link takeReady} then returns the next requests to
 * dispatch.
 */
export class AdmissionController {
  private readonly queue = PriorityQueue.create();
  private readonly concurrency: ConcurrencyLimit;
  private readonly policy: AdmissionPolicy;
  private inFlightCount = 0;
  private meanServiceMs: number;

  private constructor(private readonly options: Required<AdmissionOptions>) {
    this.policy = ADMISSION_POLICIES[options.policy];
    this.meanServiceMs = options.initialServiceMs;
    this.concurrency = ConcurrencyLimit.create({
      initial: options.initialConcurrency,
      minOnRefusal: options.minConcurrency,
      minOnHighLatency: options.initialConcurrency,
      max: options.maxConcurrency,
    });
  }

  /**
   * Creates a controller with an empty queue.
   *
   * @example
   * ```ts
   * const admission = AdmissionController.create({random});
   * admission.offer(request, nowMs).action; // 'dispatch'
   * ```
   */
  static create(options: AdmissionOptions): AdmissionController {
    return new AdmissionController({...DEFAULTS, ...options});
  }

  get queueSize(): number {
    return this.queue.size;
  }

  get inFlight(): number {
    return this.inFlightCount;
  }

  /** Maximum number of requests in flight. */
  get concurrencyLimit(): number {
    return this.policy.limitsConcurrency ? this.concurrency.limit : Infinity;
  }

  /** Dispatches, queues or rejects a new request. */
  offer(request: QueuedRequest, nowMs: number): Admission {
    if (this.inFlightCount < this.concurrencyLimit && this.queue.size === 0) {
      this.inFlightCount += 1;
      return {action: 'dispatch', rejections: []};
    }
    if (this.canQueue(request, nowMs)) {
      this.queue.push(request);
      return {action: 'queue', rejections: []};
    }
    const displaced = this.displaceLowerPriority(request, nowMs);
    if (displaced === undefined) {
      return {action: 'reject', rejections: [this.reject(request)]};
    }
    this.queue.push(request);
    return {action: 'queue', rejections: [this.reject(displaced)]};
  }

  /** Ends a dispatched request and records its outcome. */
  finish(outcome: DispatchOutcome, nowMs: number): void {
    this.concurrency.observe(outcome, this.inFlightCount, nowMs);
    this.inFlightCount = Math.max(0, this.inFlightCount - 1);
    if (outcome.wasRefused) return;
    const growth = outcome.serviceMs - this.meanServiceMs;
    this.meanServiceMs += SERVICE_TIME_WEIGHT * growth;
  }

  /** Ends a dispatched request without recording an outcome. */
  abandon(): void {
    this.inFlightCount = Math.max(0, this.inFlightCount - 1);
  }

  /**
   * Removes a queued request whose caller disconnected.
   *
   * @returns false when the request is not queued.
   */
  cancel(id: string): boolean {
    return this.queue.remove(id);
  }

  /**
   * Removes the requests to dispatch now from the queue, and those that can no
   * longer meet their deadline.
   */
  takeReady(nowMs: number): QueueChange {
    const late = this.policy.dropsLate
      ? this.queue.removeWhere(request =>
          this.cannotMeetDeadline(request, nowMs),
        )
      : [];
    const dispatched: string[] = [];
    while (this.inFlightCount < this.concurrencyLimit) {
      const next = this.queue.shift();
      if (next === undefined) break;
      this.inFlightCount += 1;
      dispatched.push(next.id);
    }
    return {dispatched, rejections: late.map(item => this.reject(item))};
  }

  /** Predicts the time until a new request of the priority is dispatched. */
  predictWaitMs(priority: Priority): number {
    const ahead = this.queue.countAhead(priority);
    const free = this.concurrencyLimit - this.inFlightCount;
    return Math.max(0, ahead + 1 - free) * this.estimateDispatchIntervalMs();
  }

  private estimateDispatchIntervalMs(): number {
    const atServers = Math.min(this.concurrencyLimit, this.inFlightCount);
    return this.meanServiceMs / Math.max(1, atServers);
  }

  private canQueue(request: QueuedRequest, nowMs: number): boolean {
    return this.policy.canQueue({
      queueSize: this.queue.size,
      maxQueueSize: this.options.maxQueueSize,
      predictedWaitMs: this.predictWaitMs(request.priority),
      expectedServiceMs: this.meanServiceMs * SERVICE_TIME_MARGIN,
      remainingMs: request.deadlineMs - nowMs,
    });
  }

  private displaceLowerPriority(
    request: QueuedRequest,
    nowMs: number,
  ): QueuedRequest | undefined {
    if (!this.policy.displacesLowerPriority) return undefined;
    if (this.queue.size < this.options.maxQueueSize) return undefined;
    if (this.cannotMeetDeadline(request, nowMs)) return undefined;
    return this.queue.popBelow(request.priority);
  }

  private cannotMeetDeadline(request: QueuedRequest, nowMs: number): boolean {
    return (
      request.deadlineMs - nowMs < this.meanServiceMs * SERVICE_TIME_MARGIN
    );
  }

  // Spreads the retries over the time in which the queue drains.
  private reject({id}: QueuedRequest): Rejection {
    const drainMs = (this.queue.size + 1) * this.estimateDispatchIntervalMs();
    const jitter = MIN_JITTER + this.options.random();
    const retryAfterMs = clamp(
      drainMs * jitter,
      MIN_RETRY_AFTER_MS * jitter,
      MAX_RETRY_AFTER_MS,
    );
    return {id, retryAfterMs: Math.ceil(retryAfterMs)};
  }
}
