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
  /** First and longest pause after a failed write. */
  readonly firstRetryMs?: number;
  readonly maxRetryMs?: number;
  /** Records that may wait for the object API at a time. */
  readonly maxPending?: number;
  /** Uniform between 0 and 1; spreads retries. */
  readonly random?: () => number;
}

/** The append-only record of changes, kept in the object API. */
export interface AuditTrail {
  /**
   * Records a change once, whatever is lost on the way, and resolves to its
   * sequence once it is durable. While the object API is out it keeps trying.
   *
   * @throws RouterError `platform_unavailable` when too many records wait or
   * the trail is stopped.
   */
  append(record: AuditRecord): Promise<number>;
  /** @throws RouterError `platform_unavailable` when the object API is out. */
  list(filter: AuditFilter): Promise<readonly AuditEntry[]>;
  /** Records that wait for the object API. */
  readonly pendingCount: number;
  /** Gives up what is pending. */
  stop(): void;
}

const DEFAULTS = {
  firstRetryMs: 200,
  maxRetryMs: 10_000,
  maxPending: 10_000,
} as const;

/** Records between two writes of the hint. */
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

  /** Records that arrive while one write is under way join the next one. */
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

  /** A lost or old hint only makes the next start read more. */
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
