import {
  countBatchRecords,
  MAX_BATCH_RECORDS,
  packBatch,
  type BillingBatch,
  type PackedBatch,
} from './billing_batch.js';
import type {BillingRecord} from './billing_record.js';

/** The records of one entry that are not durable yet, grouped into batches. */
export interface JournalState {
  /** Receives new records; this entry has not written any of them yet. */
  readonly open: BillingBatch;
  /** When the open batch received its first record; undefined while empty. */
  readonly openedAtMs: number | undefined;
  /** Batches to be written, oldest first; their records never change. */
  readonly closed: readonly PackedBatch[];
}

/** Creates an empty journal for one incarnation of an entry. */
export function createJournalState(
  shard: number,
  incarnation: string,
): JournalState {
  return {
    open: {shard, incarnation, sequence: 1, records: []},
    openedAtMs: undefined,
    closed: [],
  };
}

/** Adds a record to the open batch; a full batch is closed first. */
export function appendRecord(
  state: JournalState,
  record: BillingRecord,
  nowMs: number,
): JournalState {
  const isFull = state.open.records.length >= MAX_BATCH_RECORDS;
  const {open, openedAtMs, closed} = isFull ? closeOpenBatch(state) : state;
  return {
    open: {...open, records: [...open.records, record]},
    openedAtMs: openedAtMs ?? nowMs,
    closed,
  };
}

/** Closes the open batch so that it can be written, unless it is empty. */
export function closeOpenBatch(state: JournalState): JournalState {
  const {open, closed} = state;
  if (open.records.length === 0) return state;
  return {
    open: {...open, sequence: open.sequence + 1, records: []},
    openedAtMs: undefined,
    closed: [...closed, packBatch(open)],
  };
}

/** Removes the oldest closed batch; to be called once it is durable. */
export function dropDurableBatch(state: JournalState): JournalState {
  return {...state, closed: state.closed.slice(1)};
}

/** Counts the records that are not durable yet. */
export function countPendingRecords(state: JournalState): number {
  return state.closed.reduce(
    (sum, batch) => sum + countBatchRecords(batch),
    state.open.records.length,
  );
}

/** Lists every batch that is not durable yet, oldest first. */
export function listPendingBatches(
  state: JournalState,
): ReadonlyArray<BillingBatch | PackedBatch> {
  const {open, closed} = state;
  return open.records.length === 0 ? closed : [...closed, open];
}
