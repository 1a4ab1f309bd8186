import {createHash} from 'node:crypto';
import {
  writeObject,
  type WriteOutcome,
  type StoreProtocol,
} from '../steps/store_step.js';
import {
  encodeBatchLink,
  parseBatchLink,
  type BillingRecord,
  type LinkWriter,
} from './billing_record.js';

/** Names a batch: a run of an entry numbers its batches from 1. */
export interface BatchName {
  /** Which compaction folds the batch. */
  readonly shard: number;
  readonly incarnation: string;
  readonly sequence: number;
}

/** Records that one entry collected under one name. */
export interface BillingBatch extends BatchName {
  readonly records: readonly BillingRecord[];
}

/** A batch that only waits; its records take a quarter of the memory. */
export interface PackedBatch extends BatchName {
  readonly recordCount: number;
  readonly packedRecords: string;
}

/**
 * Packs the records of a batch that takes no more of them.
 *
 * @example
 * ```ts
 * readBatchRecords(packBatch(batch)); // equals batch.records
 * ```
 */
export function packBatch(batch: BillingBatch): PackedBatch {
  const {shard, incarnation, sequence, records} = batch;
  return {
    shard,
    incarnation,
    sequence,
    recordCount: records.length,
    packedRecords: encodeBatchLink({writer: 'origin', records}),
  };
}

/** Counts the records of a batch, packed or not. */
export function countBatchRecords(batch: BillingBatch | PackedBatch): number {
  return 'records' in batch ? batch.records.length : batch.recordCount;
}

/** Reads the records of a batch, packed or not, in order. */
export function readBatchRecords(
  batch: BillingBatch | PackedBatch,
): readonly BillingRecord[] {
  return 'records' in batch
    ? batch.records
    : parseBatchLink(batch.packedRecords).records;
}

/** Prefix of all batches. */
export const BILLING_BATCH_PREFIX = 'billing/batches/';

/** Records of one batch at most; keeps an object far below one megabyte. */
export const MAX_BATCH_RECORDS = 1000;

/** Writers of one batch at most: the entry and the peers that held copies. */
const MAX_LINKS = 32;

const SEQUENCE_DIGITS = 9;
const LINK_DIGITS = 2;

/** Prefix of the batches that one compaction folds. */
export function resolveShardPrefix(shard: number): string {
  return `${BILLING_BATCH_PREFIX}${shard}/`;
}

/**
 * Assigns a run of an entry to one of `shardCount` compactions.
 *
 * @example
 * ```ts
 * resolveShard('entry-1-7f', 4); // 2
 * ```
 */
export function resolveShard(incarnation: string, shardCount: number): number {
  const hash = createHash('sha256').update(incarnation).digest();
  return hash.readUInt32BE(0) % shardCount;
}

/** Computes the object key of one link of a batch. */
export function resolveLinkKey(name: BatchName, link: number): string {
  const sequence = String(name.sequence).padStart(SEQUENCE_DIGITS, '0');
  const suffix = String(link).padStart(LINK_DIGITS, '0');
  const prefix = resolveShardPrefix(name.shard);
  return `${prefix}${encodeURIComponent(name.incarnation)}/${sequence}.${suffix}`;
}

/** Names one link of one batch. */
export interface LinkName extends BatchName {
  readonly link: number;
}

/** Parses a key of {@link resolveLinkKey}; undefined for other keys. */
export function parseLinkKey(key: string): LinkName | undefined {
  const match = /^billing\/batches\/(\d+)\/([^/]+)\/(\d+)\.(\d+)$/.exec(key);
  if (match === null) return undefined;
  return {
    shard: Number(match[1]),
    incarnation: decodeURIComponent(match[2]),
    sequence: Number(match[3]),
    link: Number(match[4]),
  };
}

/**
 * Writes the records of a batch that no other writer has written yet. Each
 * link of a batch is created once and never changed, and a writer appends a
 * link only after it has read all earlier ones. So the entry and any number of
 * peers may write the same batch, and each record still stands in one link.
 *
 * @returns `durable` when every record stands in the object API.
 */
export function* writeBatch(
  batch: BillingBatch | PackedBatch,
  writer: LinkWriter,
): StoreProtocol<'durable' | 'failed'> {
  let records = readBatchRecords(batch);
  for (let link = 0; link < MAX_LINKS; link++) {
    if (records.length === 0) return 'durable';
    const write: WriteOutcome = yield* writeObject({
      key: resolveLinkKey(batch, link),
      value: encodeBatchLink({writer, records}),
      condition: {kind: 'absent'},
    });
    if (write.status === 'written') return 'durable';
    if (write.status === 'failed' || write.current === undefined) break;
    const written = parseBatchLink(write.current.value).records;
    const writtenIds = new Set(written.map(record => record.requestId));
    records = records.filter(record => !writtenIds.has(record.requestId));
  }
  return records.length === 0 ? 'durable' : 'failed';
}
