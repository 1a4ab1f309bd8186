import type {Priority} from '../rules/rule_set.js';
import {clamp} from '../utils/math.js';
import type {Random} from '../utils/random.js';
import {ConcurrencyLimit, type DispatchOutcome} from './concurrency_limit.js';
import {PriorityQueue, type QueuedRequest} from './priority_queue.js';

/** What a policy decides on when no slot is free. */
export interface AdmissionContext {
  readonly queueSize: number;
  readonly maxQueueSize: number;
  /** Time until the request would be dispatched. */
  readonly predictedWaitMs: number;
  /** Time that its answer then takes. */
  readonly expectedServiceMs: number;
  readonly remainingMs: number;
}

/** How requests wait. */
export interface AdmissionPolicy {
  readonly canQueue: (context: AdmissionContext) => boolean;
  /** True when requests that can no longer make it are dropped from queues. */
  readonly dropsLate: boolean;
  /** True when the number of requests at the servers is limited. */
  readonly limitsConcurrency: boolean;
  /** True when a full queue drops lower priorities for higher ones. */
  readonly displacesLowerPriority: boolean;
}

/** The policies that settings can name. */
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
  /** `predictive`. */
  readonly policy?: AdmissionPolicyName;
  /**
   * Requests at the servers at first, and the fewest that late first tokens
   * leave: this entry's part of the pool's slots; 16.
   */
  readonly initialConcurrency?: number;
  /** Fewest requests at the servers that refusals leave; 2. */
  readonly minConcurrency?: number;
  /** Most requests at the servers; 1024. */
  readonly maxConcurrency?: number;
  /** Requests that may wait; 512. */
  readonly maxQueueSize?: number;
  /** Length of an answer before any was seen; 2000. */
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

/** A request that is given up; its caller is told at once. */
export interface Rejection {
  readonly id: string;
  /** When the caller may come back, jittered. */
  readonly retryAfterMs: number;
}

/** What becomes of an offered request. */
export interface Admission {
  readonly action: 'dispatch' | 'queue' | 'reject';
  /** The request itself and queued ones that it displaced. */
  readonly rejections: readonly Rejection[];
}

/** Requests that leave the queue. */
export interface QueueChange {
  readonly dispatched: readonly string[];
  readonly rejections: readonly Rejection[];
}

/**
 * Admits requests for one pool of backend servers at one entry. Each
 * dispatched request must end in {@link finish}, after which
 * {@link takeReady} gives the next ones.
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

  /** Requests that may be at the servers at once. */
  get concurrencyLimit(): number {
    return this.policy.limitsConcurrency ? this.concurrency.limit : Infinity;
  }

  /** Decides on a new request. */
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

  /** Takes in the end of a dispatched request. */
  finish(outcome: DispatchOutcome, nowMs: number): void {
    this.concurrency.observe(outcome, this.inFlightCount, nowMs);
    this.inFlightCount = Math.max(0, this.inFlightCount - 1);
    if (outcome.wasRefused) return;
    const growth = outcome.serviceMs - this.meanServiceMs;
    this.meanServiceMs += SERVICE_TIME_WEIGHT * growth;
  }

  /** Ends a dispatched request of which nothing was learnt. */
  abandon(): void {
    this.inFlightCount = Math.max(0, this.inFlightCount - 1);
  }

  /** Takes out a queued request whose caller left. */
  cancel(id: string): boolean {
    return this.queue.remove(id);
  }

  /** Gives the requests to dispatch now and those that are too late. */
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

  /** Time until a new request of the priority would be dispatched. */
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

  // Spreads returns over the time in which the queue drains.
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
