import {
  deleteObject,
  listObjects,
  readObject,
  writeObject,
  type ListOutcome,
  type StoreProtocol,
} from '../steps/store_step.js';
import {advanceRetention, findExpiredVersion} from '../steps/retention.js';
import type {StoredObject, WriteCondition} from '../types/object_store.js';
import {parseLinkKey, resolveShardPrefix} from './billing_batch.js';
import {parseBatchLink} from './billing_record.js';
import {
  dropExpiredProgress,
  EMPTY_TOTALS,
  foldLink,
  isBatchSealed,
  isLinkFolded,
  parseTotals,
  resolveTotalsKey,
  sealBatches,
  type BillingTotals,
} from './billing_totals.js';

/** One compaction of one shard. */
export interface CompactionRequest {
  readonly shard: number;
  /** Unique to this compaction. */
  readonly compactionId: string;
  /** This holder's last compaction that was written; undefined for none. */
  readonly previousId: string | undefined;
  /** Monotonic time that passed since then. */
  readonly elapsedMs: number;
  /** How long links of a hand-off and the progress of lost entries are kept. */
  readonly retentionMs: number;
  /** Pages of the listing to read at most. */
  readonly maxPages: number;
}

/** What a compaction did. */
export interface CompactionOutcome {
  /** `conflict`: another holder compacted; `failed`: no usable answer. */
  readonly status: 'folded' | 'idle' | 'conflict' | 'failed';
  readonly foldedCount: number;
  readonly deletedCount: number;
}

/**
 * Folds batches into the totals of a shard. Which links are in the totals is
 * part of the same conditional update, so two holders at once add a link once.
 * Links are deleted only after the update stands.
 */
export function* compactBatches(
  request: CompactionRequest,
): StoreProtocol<CompactionOutcome> {
  const key = resolveTotalsKey(request.shard);
  const read = yield* readObject(key);
  if (read.status === 'failed') return createOutcome('failed');
  const stored = read.object;
  const links = yield* listLinks(request, stored?.version ?? 0);
  if (links === undefined) return createOutcome('failed');

  const before = stored ? parseTotals(stored.value) : EMPTY_TOTALS;
  const folded = foldLinks(before, links.objects);
  const fullyListed = listFullyListed(links);
  const sealed = sealBatches(folded.totals, before, fullyListed);
  if (isSameProgress(sealed, before)) {
    const deletedCount = yield* deleteLinks(before, links, request);
    return {...createOutcome('idle'), deletedCount};
  }
  const after = finishTotals(sealed, links, request);
  const condition: WriteCondition =
    stored === undefined
      ? {kind: 'absent'}
      : {kind: 'version', version: stored.version};
  const value = JSON.stringify(after);
  const write = yield* writeObject({key, value, condition});
  if (write.status !== 'written') return createOutcome(write.status);
  const deletedCount = yield* deleteLinks(after, links, request);
  return {status: 'folded', foldedCount: folded.foldedCount, deletedCount};
}

function createOutcome(status: CompactionOutcome['status']): CompactionOutcome {
  return {status, foldedCount: 0, deletedCount: 0};
}

function isSameProgress(a: BillingTotals, b: BillingTotals): boolean {
  return JSON.stringify(a.progress) === JSON.stringify(b.progress);
}

interface LinkListing {
  readonly objects: readonly StoredObject[];
  readonly storeVersion: number;
  /** False when more pages were left than could be read. */
  readonly isComplete: boolean;
}

/** Lists links; undefined if the store was out or answered from before. */
function* listLinks(
  request: CompactionRequest,
  minStoreVersion: number,
): StoreProtocol<LinkListing | undefined> {
  const prefix = resolveShardPrefix(request.shard);
  const objects: StoredObject[] = [];
  let storeVersion = 0;
  let after: string | undefined;
  for (let page = 0; page < request.maxPages; page++) {
    const list: ListOutcome = yield* listObjects(prefix, after);
    if (list.status === 'failed') return undefined;
    ({storeVersion} = list.page);
    if (storeVersion < minStoreVersion) return undefined;
    objects.push(...list.page.objects);
    after = list.page.nextAfter;
    if (after === undefined) break;
  }
  return {objects, storeVersion, isComplete: after === undefined};
}

/** Runs of entries of which every link that stands was listed. */
function listFullyListed(links: LinkListing): ReadonlySet<string> {
  const listed = listIncarnations(links);
  const lastKey = links.objects.at(-1)?.key ?? '';
  const last = parseLinkKey(lastKey)?.incarnation;
  if (!links.isComplete && last !== undefined) listed.delete(last);
  return listed;
}

function listIncarnations(links: LinkListing): Set<string> {
  const names = links.objects.map(object => parseLinkKey(object.key));
  return new Set(names.flatMap(name => (name ? [name.incarnation] : [])));
}

function foldLinks(
  before: BillingTotals,
  objects: readonly StoredObject[],
): {totals: BillingTotals; foldedCount: number} {
  let totals = before;
  let foldedCount = 0;
  for (const object of objects) {
    const name = parseLinkKey(object.key);
    if (name === undefined || isLinkFolded(totals, name)) continue;
    totals = foldLink(
      totals,
      name,
      object.version,
      parseBatchLink(object.value),
    );
    foldedCount += 1;
  }
  return {totals, foldedCount};
}

function finishTotals(
  totals: BillingTotals,
  links: LinkListing,
  request: CompactionRequest,
): BillingTotals {
  const {compactionId, previousId, retentionMs} = request;
  const {storeVersion, isComplete} = links;
  // Two holders at once must not both count the same time.
  const isOwnInterval = totals.compactionId === previousId;
  const elapsedMs = isOwnInterval ? request.elapsedMs : 0;
  const step = {storeVersion, elapsedMs, retentionMs};
  const retention = advanceRetention(totals.retention, step);
  const next = {...totals, compactionId, retention};
  if (!isComplete) return next;
  const expiredVersion = findExpiredVersion(retention, retentionMs);
  return dropExpiredProgress(next, expiredVersion, listIncarnations(links));
}

/**
 * Deletes the links of sealed batches. The last batches of a lost entry are
 * never sealed and stay for the retention, since a paused entry that wakes
 * compares what it has still to write with them.
 */
function* deleteLinks(
  totals: BillingTotals,
  links: LinkListing,
  request: CompactionRequest,
): StoreProtocol<number> {
  const {retention} = totals;
  const expiredVersion = findExpiredVersion(retention, request.retentionMs);
  let deletedCount = 0;
  for (const object of links.objects) {
    const name = parseLinkKey(object.key);
    if (name === undefined || !isLinkFolded(totals, name)) continue;
    const isExpired = object.version <= expiredVersion;
    if (!isBatchSealed(totals, name) && !isExpired) continue;
    const isDeleted = yield* deleteObject(object.key, object.version);
    if (isDeleted) deletedCount += 1;
  }
  return deletedCount;
}
