import {
  countBatchRecords,
  packBatch,
  readBatchRecords,
  type BatchName,
  type BillingBatch,
  type PackedBatch,
} from './billing_batch.js';
import type {BillingRecord} from './billing_record.js';

/** A peer's request to hold copies of its records until they are durable. */
export interface HoldRequest {
  readonly batch: BillingBatch;
  /** The peer's batches up to this sequence number are durable. */
  readonly durableThrough: number;
}

/**
 * Copies of the records of peers. They are a buffer for the hand-off, in which
 * this entry writes the records of a lost peer on its behalf. Nothing else
 * reads them, they have no ordering or quorum, and each copy is dropped as soon
 * as its batch is stored in the object API.
 */
export interface HeldCopies {
  readonly batches: ReadonlyMap<string, BillingBatch | PackedBatch>;
  readonly recordCount: number;
}

/** The initial state, without copies. */
export const NO_HELD_COPIES: HeldCopies = {batches: new Map(), recordCount: 0};

function resolveBatchId(name: BatchName): string {
  return `${name.incarnation}/${name.sequence}`;
}

/**
 * Adds copies of a peer's records and drops its batches that are durable.
 *
 * @returns undefined when `maxRecords` would be exceeded; the request must then
 *   be refused as a whole.
 */
export function holdRecords(
  copies: HeldCopies,
  request: HoldRequest,
  maxRecords: number,
): HeldCopies | undefined {
  const {batch, durableThrough} = request;
  const kept = dropDurableCopies(copies, batch.incarnation, durableThrough);
  const batchId = resolveBatchId(batch);
  const heldBatch = kept.batches.get(batchId);
  const earlier = heldBatch === undefined ? [] : readBatchRecords(heldBatch);
  const records = mergeRecords(earlier, batch.records);
  const recordCount = kept.recordCount + records.length - earlier.length;
  if (recordCount > maxRecords) return undefined;
  if (records.length === 0) return kept;
  const batches = new Map(kept.batches);
  if (heldBatch === undefined) packEarlierBatches(batches, batch.incarnation);
  batches.set(batchId, {...batch, records});
  return {batches, recordCount};
}

/**
 * Packs the batches of an incarnation that begins a new batch, since it rarely
 * adds records to its earlier ones.
 */
function packEarlierBatches(
  batches: Map<string, BillingBatch | PackedBatch>,
  incarnation: string,
): void {
  for (const [batchId, batch] of batches) {
    if (batch.incarnation !== incarnation || !('records' in batch)) continue;
    batches.set(batchId, packBatch(batch));
  }
}

function mergeRecords(
  a: readonly BillingRecord[],
  b: readonly BillingRecord[],
): readonly BillingRecord[] {
  const ids = new Set(a.map(record => record.requestId));
  return [...a, ...b.filter(record => !ids.has(record.requestId))];
}

/** Drops the copies of one incarnation of an entry that are durable. */
export function dropDurableCopies(
  copies: HeldCopies,
  incarnation: string,
  durableThrough: number,
): HeldCopies {
  const kept = [...copies.batches].filter(
    ([, batch]) =>
      batch.incarnation !== incarnation || batch.sequence > durableThrough,
  );
  const recordCount = kept.reduce(
    (n, [, batch]) => n + countBatchRecords(batch),
    0,
  );
  return {batches: new Map(kept), recordCount};
}

/** Drops a batch after its hand-off, unless records were added meanwhile. */
export function dropHandedOffBatch(
  copies: HeldCopies,
  batch: BillingBatch | PackedBatch,
): HeldCopies {
  const batchId = resolveBatchId(batch);
  const heldBatch = copies.batches.get(batchId);
  if (
    heldBatch === undefined ||
    countBatchRecords(heldBatch) > countBatchRecords(batch)
  ) {
    return copies;
  }
  const batches = new Map(copies.batches);
  batches.delete(batchId);
  return {
    batches,
    recordCount: copies.recordCount - countBatchRecords(heldBatch),
  };
}

/** Lists the held batches of one incarnation of an entry, oldest first. */
export function listHeldBatches(
  copies: HeldCopies,
  incarnation: string,
): ReadonlyArray<BillingBatch | PackedBatch> {
  return [...copies.batches.values()]
    .filter(batch => batch.incarnation === incarnation)
    .sort((a, b) => a.sequence - b.sequence);
}
