import {
  appendRecord,
  closeOpenBatch,
  countPendingRecords,
  createJournalState,
  dropDurableBatch,
  listPendingBatches,
  MAX_BATCH_RECORDS,
  resolveShard,
  writeBatch,
  type BillingRecord,
  type JournalState,
  type ObjectStore,
} from '@anvilrudder/core';
import {runStoreProtocol} from '../steps/run_store_protocol.js';
import type {BillingPeer} from './billing_peer.js';
import {PeerCopier} from './peer_copier.js';

/** Options of {@link createBillingJournal}. */
export interface BillingJournalOptions {
  readonly store: ObjectStore;
  /** Incarnation of this entry; part of the object keys of its batches. */
  readonly incarnation: string;
  /** Chooses a peer in another failure domain; none by default. */
  readonly choosePeer?: (
    excludedHosts: ReadonlySet<string>,
  ) => BillingPeer | undefined;
  /** Number of shards, each with its own compaction; equal on every entry. */
  readonly shardCount?: number;
  /** Age of the first record of a batch at which the batch is written. */
  readonly maxBatchAgeMs?: number;
  /** Number of records at which a batch is written. */
  readonly maxBatchRecords?: number;
  /**
   * Maximum number of records that are not durable. At this limit, admission
   * must refuse new requests.
   */
  readonly maxPendingRecords?: number;
  /**
   * Age of the first record at which a batch is written while no peer can hold
   * copies.
   */
  readonly groupCommitMs?: number;
  /**
   * How long `commit` waits for a record to become durable when no peer can
   * hold a copy.
   */
  readonly durableWaitMs?: number;
  /** How long a peer may take to confirm copies before another one is asked. */
  readonly copyTimeoutMs?: number;
  /** How long a peer that failed is not asked again. */
  readonly peerExclusionMs?: number;
  /** Delay after the first failed write; it doubles with each further one. */
  readonly firstRetryMs?: number;
  /** Maximum delay after a failed write. */
  readonly maxRetryMs?: number;
  readonly nowMs?: () => number;
  /** Uniform between 0 and 1; spreads retries. */
  readonly random?: () => number;
}

/**
 * Where a record is stored. `durable`: in the object API. `peer`: a peer in
 * another failure domain holds a copy. `unprotected`: only in the memory of
 * this process, so that it is lost with this host.
 */
export type RecordProtection = 'durable' | 'peer' | 'unprotected';

/** The fill level of the journal. */
export interface JournalStatus {
  readonly pendingRecords: number;
  readonly maxPendingRecords: number;
  /** True when admission must refuse new requests. */
  readonly isFull: boolean;
  /** Records whose request was answered while they were unprotected. */
  readonly unprotectedCount: number;
  /** Batches up to this sequence number are durable. */
  readonly durableThrough: number;
}

/** Buffers the billing records of this entry until they are durable. */
export interface BillingJournal {
  /**
   * Adds a record and waits until it is protected, if possible. To be awaited
   * before the end of the answer is sent.
   */
  commit(record: BillingRecord): Promise<RecordProtection>;
  /**
   * To be called when a host is known to be lost. Records that it held copies
   * of are copied to another peer at once, without waiting for the next record.
   */
  handleHostLost(host: string): Promise<void>;
  status(): JournalStatus;
  /**
   * Writes all pending records now.
   *
   * @returns true if none are pending afterwards, false after a failed write.
   */
  flush(): Promise<boolean>;
  /** Stops the timers. Pending records are left to `flush` or to a peer. */
  stop(): void;
}

const DEFAULTS = {
  shardCount: 1,
  maxBatchAgeMs: 2000,
  maxBatchRecords: MAX_BATCH_RECORDS,
  maxPendingRecords: 200_000,
  groupCommitMs: 100,
  durableWaitMs: 2000,
  copyTimeoutMs: 200,
  peerExclusionMs: 5000,
  firstRetryMs: 200,
  maxRetryMs: 10_000,
} as const;

/**
 * Creates the billing journal of one entry.
 *
 * @example
 * ```ts
 * const journal = createBillingJournal({store, incarnation, choosePeer});
 * await journal.commit(record);
 * response.end();
 * ```
 */
export function createBillingJournal(
  options: BillingJournalOptions,
): BillingJournal {
  return StoreBillingJournal.create(options);
}

class StoreBillingJournal implements BillingJournal {
  private state: JournalState;
  private durableThrough = 0;
  private unprotectedCount = 0;
  private writeInProgress: Promise<void> | undefined;
  private timer: NodeJS.Timeout | undefined;
  /** When the timer of the open batch fires; undefined when none is set. */
  private dueAtMs: number | undefined;
  /** Delay after the next failed write; defined only while writes fail. */
  private retryMs: number | undefined;
  /** True when a call of `commit` waits for the open batch to be durable. */
  private isCommitWaiting = false;
  private isStopped = false;
  private readonly copier: PeerCopier;
  private readonly durabilityWaiters = new Set<() => void>();

  private constructor(
    private readonly options: Required<BillingJournalOptions>,
  ) {
    const {incarnation, shardCount, nowMs, choosePeer} = options;
    const shard = resolveShard(incarnation, shardCount);
    this.state = createJournalState(shard, incarnation);
    this.copier = PeerCopier.create({
      choosePeer,
      nowMs,
      listPending: () => listPendingBatches(this.state),
      durableThrough: () => this.durableThrough,
      timeoutMs: options.copyTimeoutMs,
      exclusionMs: options.peerExclusionMs,
    });
  }

  static create(options: BillingJournalOptions): StoreBillingJournal {
    return new StoreBillingJournal({
      ...DEFAULTS,
      choosePeer: () => undefined,
      nowMs: () => performance.now(),
      random: Math.random,
      ...options,
    });
  }

  async commit(record: BillingRecord): Promise<RecordProtection> {
    this.state = appendRecord(this.state, record, this.options.nowMs());
    const {sequence} = this.state.open;
    this.scheduleWrite();
    if (await this.copier.copy()) return 'peer';
    this.isCommitWaiting = true;
    this.scheduleWrite();
    const isDurable = await this.waitUntilDurable(sequence);
    if (isDurable) return 'durable';
    this.unprotectedCount += 1;
    return 'unprotected';
  }

  async handleHostLost(host: string): Promise<void> {
    await this.copier.replacePeer(host);
  }

  status(): JournalStatus {
    const {maxPendingRecords} = this.options;
    const pendingRecords = countPendingRecords(this.state);
    return {
      pendingRecords,
      maxPendingRecords,
      isFull: pendingRecords >= maxPendingRecords,
      unprotectedCount: this.unprotectedCount,
      durableThrough: this.durableThrough,
    };
  }

  async flush(): Promise<boolean> {
    do {
      this.retryMs = undefined;
      this.closeAndWrite();
      await this.writeInProgress;
    } while (this.retryMs === undefined && this.countPending() > 0);
    return this.countPending() === 0;
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  private countPending(): number {
    return countPendingRecords(this.state);
  }

  /**
   * Writes the open batch if it is full; otherwise sets the timer for its age
   * limit.
   */
  private scheduleWrite(): void {
    const {open, openedAtMs} = this.state;
    const {maxBatchRecords, maxBatchAgeMs, groupCommitMs} = this.options;
    if (open.records.length >= maxBatchRecords) return this.closeAndWrite();
    if (openedAtMs === undefined || this.retryMs !== undefined) return;
    const ageMs = this.isCommitWaiting ? groupCommitMs : maxBatchAgeMs;
    this.startTimer(openedAtMs + ageMs);
  }

  /** Sets the timer, unless it is already set for an earlier time. */
  private startTimer(dueAtMs: number): void {
    if (this.isStopped) return;
    if (this.dueAtMs !== undefined && this.dueAtMs <= dueAtMs) return;
    clearTimeout(this.timer);
    this.dueAtMs = dueAtMs;
    const delayMs = Math.max(0, dueAtMs - this.options.nowMs());
    this.timer = setTimeout(() => {
      this.dueAtMs = undefined;
      this.closeAndWrite();
    }, delayMs);
    this.timer.unref();
  }

  /**
   * Closes the open batch and writes the closed batches. While closed batches
   * wait for the object API, the open one is closed only when it is full.
   */
  private closeAndWrite(): void {
    const {open, closed} = this.state;
    const isFull = open.records.length >= this.options.maxBatchRecords;
    if (closed.length === 0 || isFull) {
      this.state = closeOpenBatch(this.state);
      this.isCommitWaiting = false;
    }
    this.writeInProgress ??= this.writeClosedBatches().finally(() => {
      this.writeInProgress = undefined;
      this.scheduleWrite();
    });
  }

  private async writeClosedBatches(): Promise<void> {
    for (;;) {
      const batch = this.state.closed[0];
      if (batch === undefined) return;
      const protocol = writeBatch(batch, 'origin');
      const outcome = await runStoreProtocol(this.options.store, protocol);
      if (outcome === 'failed') return this.scheduleRetry();
      this.retryMs = undefined;
      this.state = dropDurableBatch(this.state);
      this.durableThrough = batch.sequence;
      for (const resolve of this.durabilityWaiters) resolve();
    }
  }

  private scheduleRetry(): void {
    const {random, firstRetryMs, maxRetryMs, nowMs} = this.options;
    const retryMs = this.retryMs ?? firstRetryMs;
    this.retryMs = Math.min(2 * retryMs, maxRetryMs);
    this.startTimer(nowMs() + retryMs * (0.5 + random() / 2));
  }

  /** Waits until a batch is durable, for at most `durableWaitMs`. */
  private async waitUntilDurable(sequence: number): Promise<boolean> {
    const isDurable = () => this.durableThrough >= sequence;
    if (isDurable()) return true;
    await new Promise<void>(resolve => {
      const timer = setTimeout(done, this.options.durableWaitMs);
      const waiters = this.durabilityWaiters;
      function check(): void {
        if (isDurable()) done();
      }
      function done(): void {
        clearTimeout(timer);
        waiters.delete(check);
        resolve();
      }
      waiters.add(check);
    });
    return isDurable();
  }
}
