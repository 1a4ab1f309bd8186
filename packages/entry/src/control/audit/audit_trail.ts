import {
  appendAudit,
  AUDIT_HINT_KEY,
  findAuditTail,
  listAudit,
  normalizeAuditRecord,
  RouterError,
  type AuditEntry,
  type AuditFilter,
  type AuditRecord,
  type AuditTail,
  type ObjectStore,
} from '@anvilrudder/core';
import {runStoreProtocol} from '../steps/run_store_protocol.js';

/** Options of {@link createAuditTrail}. */
export interface AuditTrailOptions {
  readonly store: ObjectStore;
  /** Delay of the first retry of a failed write; each retry doubles it. */
  readonly firstRetryMs?: number;
  /** Upper limit of the retry delay. */
  readonly maxRetryMs?: number;
  /** Maximum number of records that wait to be written. */
  readonly maxPending?: number;
  /** Uniform between 0 and 1; adds jitter to the retry delay. */
  readonly random?: () => number;
}

/** The append-only log of changes, stored in the object API. */
export interface AuditTrail {
  /**
   * Appends a record exactly once, also when requests or responses are lost,
   * and resolves to its sequence number once it is durable. While the object
   * API is unavailable, the write is retried.
   *
   * @throws RouterError `platform_unavailable` when `maxPending` records are
   * waiting or the trail has been stopped.
   */
  append(record: AuditRecord): Promise<number>;
  /**
   * Lists the records that match a filter.
   *
   * @throws RouterError `platform_unavailable` when the object API is
   * unavailable.
   */
  list(filter: AuditFilter): Promise<readonly AuditEntry[]>;
  /** Number of records that have not been written yet. */
  readonly pendingCount: number;
  /** Stops writing and rejects the pending appends. */
  stop(): void;
}

const DEFAULTS = {
  firstRetryMs: 200,
  maxRetryMs: 10_000,
  maxPending: 10_000,
} as const;

/** Number of records after which the hint is written again. */
const HINT_INTERVAL_RECORDS = 100;

/**
 * Creates the audit trail of one entry.
 *
 * @example
 * ```ts
 * const audit = createAuditTrail({store});
 * const sequence = await audit.append(record);
 * const entries = await audit.list({who: 'mina', limit: 20});
 * ```
 */
export function createAuditTrail(options: AuditTrailOptions): AuditTrail {
  return StoreAuditTrail.create(options);
}

interface PendingRecord {
  readonly record: AuditRecord;
  readonly resolve: (sequence: number) => void;
  readonly reject: (error: Error) => void;
}

class StoreAuditTrail implements AuditTrail {
  private pending: PendingRecord[] = [];
  private tail: AuditTail | undefined;
  private hintedSequence = 0;
  private retryMs: number;
  private isWriting = false;
  private isStopped = false;
  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: Required<AuditTrailOptions>) {
    this.retryMs = options.firstRetryMs;
  }

  static create(options: AuditTrailOptions): StoreAuditTrail {
    return new StoreAuditTrail({...DEFAULTS, random: Math.random, ...options});
  }

  get pendingCount(): number {
    return this.pending.length;
  }

  async append(record: AuditRecord): Promise<number> {
    if (this.isStopped || this.pending.length >= this.options.maxPending) {
      throw createUnavailableError();
    }
    const written = new Promise<number>((resolve, reject) => {
      this.pending.push({
        record: normalizeAuditRecord(record),
        resolve,
        reject,
      });
    });
    if (this.timer === undefined) void this.writePending();
    return await written;
  }

  async list(filter: AuditFilter): Promise<readonly AuditEntry[]> {
    const {store} = this.options;
    const entries = await runStoreProtocol(store, listAudit(filter));
    if (entries === undefined) throw createUnavailableError();
    return entries;
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
    const {pending} = this;
    this.pending = [];
    for (const {reject} of pending) reject(createUnavailableError());
  }

  /** Records that arrive during a write are written in the next batch. */
  private async writePending(): Promise<void> {
    if (this.isWriting) return;
    this.isWriting = true;
    let isWritten = true;
    while (isWritten && this.pending.length > 0) {
      isWritten = await this.writeBatch();
    }
    this.isWriting = false;
    if (!isWritten) this.scheduleRetry();
  }

  private async writeBatch(): Promise<boolean> {
    const {store, firstRetryMs} = this.options;
    const records = this.pending.map(({record}) => record);
    this.tail ??= await runStoreProtocol(store, findAuditTail());
    if (this.tail === undefined) return false;
    const append = await runStoreProtocol(
      store,
      appendAudit(records, this.tail),
    );
    this.tail = append.tail;
    this.resolveWrittenRecords(append.tail);
    if (append.status === 'failed') return false;
    this.retryMs = firstRetryMs;
    await this.writeHint(append.tail.nextSequence);
    return true;
  }

  private resolveWrittenRecords(tail: AuditTail): void {
    const {pending} = this;
    this.pending = [];
    for (const waiting of pending) {
      const sequence = tail.sequenceById.get(waiting.record.id);
      if (sequence === undefined) this.pending.push(waiting);
      else waiting.resolve(sequence);
    }
  }

  /**
   * Stores a sequence near the end of the trail. If the hint is missing or
   * outdated, the next start only has to read more records.
   */
  private async writeHint(nextSequence: number): Promise<void> {
    if (nextSequence - this.hintedSequence < HINT_INTERVAL_RECORDS) return;
    this.hintedSequence = nextSequence;
    const {store} = this.options;
    await store
      .put(AUDIT_HINT_KEY, String(nextSequence), {kind: 'any'})
      .catch(() => undefined);
  }

  private scheduleRetry(): void {
    if (this.isStopped) return;
    const {random, maxRetryMs} = this.options;
    const delayMs = this.retryMs * (0.5 + random() / 2);
    this.retryMs = Math.min(2 * this.retryMs, maxRetryMs);
    this.timer = setTimeout(() => {
      this.timer = undefined;
      void this.writePending();
    }, delayMs);
  }
}

function createUnavailableError(): RouterError {
  return RouterError.create('The audit trail is unavailable.', {
    code: 'platform_unavailable',
    retryAfterMs: 1000,
  });
}
