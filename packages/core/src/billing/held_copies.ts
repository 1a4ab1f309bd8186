import type {BatchName, BillingBatch} from './billing_batch.js';
import type {BillingRecord} from './billing_record.js';

/** Records that a peer asks this entry to hold until they are durable. */
export interface HoldRequest {
  readonly batch: BillingBatch;
  /** Batches of the peer up to this sequence are durable. */
  readonly durableThrough: number;
}

/**
 * Copies of the records of peers. They are a buffer for the hand-off of a lost
 * entry: nobody reads them, they carry no order or quorum, and each is dropped
 * as soon as its batch stands in the object API.
 */
export interface HeldCopies {
  readonly batches: ReadonlyMap<string, BillingBatch>;
  readonly recordCount: number;
}

/** No copies. */
export const NO_HELD_COPIES: HeldCopies = {batches: new Map(), recordCount: 0};

function resolveBatchId(name: BatchName): string {
  return `${name.incarnation}/${name.sequence}`;
}

/**
 * Adds the records of a peer and drops its durable batches.
 *
 * @returns undefined when `maxRecords` would be exceeded; nothing is held then.
 */
export function holdRecords(
  copies: HeldCopies,
  request: HoldRequest,
  maxRecords: number,
): HeldCopies | undefined {
  const {batch, durableThrough} = request;
  const kept = dropDurableCopies(copies, batch.incarnation, durableThrough);
  const batchId = resolveBatchId(batch);
  const earlier = kept.batches.get(batchId)?.records ?? [];
  const records = mergeRecords(earlier, batch.records);
  const recordCount = kept.recordCount + records.length - earlier.length;
  if (recordCount > maxRecords) return undefined;
  if (records.length === 0) return kept;
  const batches = new Map(kept.batches).set(batchId, {...batch, records});
  return {batches, recordCount};
}

function mergeRecords(
  a: readonly BillingRecord[],
  b: readonly BillingRecord[],
): readonly BillingRecord[] {
  const ids = new Set(a.map(record => record.requestId));
  return [...a, ...b.filter(record => !ids.has(record.requestId))];
}

/** Drops the copies of one run of an entry that are durable. */
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
    (n, [, batch]) => n + batch.records.length,
    0,
  );
  return {batches: new Map(kept), recordCount};
}

/** Drops one batch after a hand-off, unless records were added meanwhile. */
export function dropHandedOff(
  copies: HeldCopies,
  batch: BillingBatch,
): HeldCopies {
  const batchId = resolveBatchId(batch);
  const held = copies.batches.get(batchId);
  if (held === undefined || held.records.length > batch.records.length) {
    return copies;
  }
  const batches = new Map(copies.batches);
  batches.delete(batchId);
  return {batches, recordCount: copies.recordCount - held.records.length};
}

/** Lists the copies of one run of an entry, oldest first. */
export function listHeldBatches(
  copies: HeldCopies,
  incarnation: string,
): readonly BillingBatch[] {
  return [...copies.batches.values()]
    .filter(batch => batch.incarnation === incarnation)
    .sort((a, b) => a.sequence - b.sequence);
}
