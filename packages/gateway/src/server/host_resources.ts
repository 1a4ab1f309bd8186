import {readdirSync} from 'node:fs';
import {MemoryBudget, type Random, type ShedReason} from '@anvilrudder/core';
import type {Logger, MetricRegistry} from '@anvilrudder/observability';
import type {ResourceSettings} from '../config/settings.js';
import {ChunkTurns} from './chunk_turns.js';
import {MemoryQueue} from './memory_queue.js';

/** Why a connection was closed that holds no memory worth counting. */
type ClosedReason =
  | 'small_chunks'
  | 'too_many_connections'
  | 'connection_refused'
  | 'unread_response';

/** Options of {@link HostResources}. */
export interface HostResourcesOptions {
  readonly resources: ResourceSettings;
  readonly logger: Logger;
  readonly metrics: MetricRegistry;
  readonly random: Random;
  /** Time without a request or a chunk after which a caller counts as idle. */
  readonly readIdleTimeoutMs: () => number;
}

const MB = 1_000_000;
/** Memory of the idle process, including its code. */
const BASE_MEMORY_MB = 100;
/**
 * Part of the rest that may wait. The other part is for what was released and is not
 * collected yet, and for the objects of requests in progress.
 */
const BUDGET_SHARE = 0.3;
/** A host with less memory than this needs could not serve one large request. */
const MIN_BUDGET_MB = 16;
/** A larger budget would let objects fill the heap, whose size is fixed. */
const MAX_BUDGET_MB = 160;
/** Descriptors for files, listeners, the store, readiness checks and metrics. */
const RESERVED_FDS = 200;
/** A request that is served takes one to its caller and one to a server. */
const FDS_PER_REQUEST = 2;
/** Kept where the settings give hardly more than the reserved descriptors. */
const MIN_CONNECTIONS = 32;
/** Idle times after which a caller that reads nothing of a response is ended. */
const UNREAD_IDLE_TIMES = 4;
const MIN_RETRY_AFTER_MS = 500;
const RETRY_JITTER_MS = 1000;
const LOG_INTERVAL_MS = 1000;
const FD_DIRECTORY = '/proc/self/fd';

/** Computes the budget of a host from its memory. */
export function computeBudgetBytes(memoryMb: number): number {
  const budgetMb = (memoryMb - BASE_MEMORY_MB) * BUDGET_SHARE;
  return Math.max(MIN_BUDGET_MB, Math.min(MAX_BUDGET_MB, budgetMb)) * MB;
}

/** Computes the number of callers' connections from the descriptors of a host. */
export function computeMaxConnections(maxFds: number): number {
  const connections = Math.floor((maxFds - RESERVED_FDS) / FDS_PER_REQUEST);
  return Math.max(MIN_CONNECTIONS, connections);
}

/** The memory and the descriptors that this host has for its callers. */
export class HostResources {
  readonly memory: MemoryBudget;
  /** Responses of servers that wait for memory. */
  readonly responseQueue = MemoryQueue.create();
  /** Chunks of the bodies that arrive. */
  readonly chunkTurns = ChunkTurns.create();
  readonly maxConnections: number;
  private readonly closedCounts = new Map<string, number>();
  private logTimer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: HostResourcesOptions) {
    const {resources, metrics} = options;
    this.maxConnections = computeMaxConnections(resources.maxFds);
    this.memory = MemoryBudget.create({
      maxBytes: computeBudgetBytes(resources.memoryMb),
      readMs: () => performance.now(),
      onShed: reason => this.recordClosed(reason),
    });
    metrics.registerGauge(
      'memory_budget_used_bytes',
      () => this.memory.usedBytes,
    );
    metrics.registerGauge('memory_budget_bytes', () => this.memory.maxBytes);
    metrics.registerGauge('open_descriptors', countOpenFds);
  }

  /**
   * @example
   * ```ts
   * const resources = HostResources.create({resources: {memoryMb: 210, maxFds: 1024}, ...rest});
   * resources.maxConnections; // 412
   * ```
   */
  static create(options: HostResourcesOptions): HostResources {
    return new HostResources(options);
  }

  /** Time after which a caller that reads nothing of a response is ended. */
  get unreadTimeoutMs(): number {
    return UNREAD_IDLE_TIMES * this.options.readIdleTimeoutMs();
  }

  /** Draws a retry delay; its jitter spreads callers that were rejected together. */
  drawRetryAfterMs(): number {
    return MIN_RETRY_AFTER_MS + RETRY_JITTER_MS * this.options.random();
  }

  /** Counts and logs an ended caller; at most one log line a second. */
  recordClosed(reason: ShedReason | ClosedReason): void {
    this.options.metrics.count('shed_total', {reason});
    this.closedCounts.set(reason, (this.closedCounts.get(reason) ?? 0) + 1);
    this.logTimer ??= setTimeout(() => this.log(), LOG_INTERVAL_MS).unref();
  }

  close(): void {
    clearTimeout(this.logTimer);
  }

  private log(): void {
    this.logTimer = undefined;
    this.options.logger.info('callers_shed', {
      ...Object.fromEntries(this.closedCounts),
      usedBytes: this.memory.usedBytes,
      maxBytes: this.memory.maxBytes,
    });
    this.closedCounts.clear();
  }
}

function countOpenFds(): number {
  try {
    return readdirSync(FD_DIRECTORY).length;
  } catch {
    // Only Linux lists the descriptors of a process there.
    return 0;
  }
}
