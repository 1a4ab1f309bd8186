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

/** The input of {@link compactBatches}. */
export interface CompactionRequest {
  readonly shard: number;
  /** Unique to this compaction. */
  readonly compactionId: string;
  /** Id of the last compaction that this process wrote; undefined if none. */
  readonly previousId: string | undefined;
  /** Time since that compaction, on the monotonic clock of this process. */
  readonly elapsedMs: number;
  /** Retention period of hand-off links and of the progress of lost entries. */
  readonly retentionMs: number;
  /** Maximum number of listing pages to read. */
  readonly maxPages: number;
}

/** Outcome of {@link compactBatches}. */
export interface CompactionOutcome {
  /**
   * `folded`: the totals were updated. `idle`: there was nothing to update.
   * `conflict`: another process updated the totals first. `failed`: the object
   * API gave no usable answer.
   */
  readonly status: 'folded' | 'idle' | 'conflict' | 'failed';
  /** Number of links added to the totals. */
  readonly foldedCount: number;
  /** Number of links deleted. */
  readonly deletedCount: number;
}

/**
 * Adds batches to the totals of a shard. The list of links that the totals
 * include is part of the same conditional update, so two concurrent compactions
 * add each link only once. Links are deleted only after the update has been
 * written.
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

  const totalsBefore = stored ? parseTotals(stored.value) : EMPTY_TOTALS;
  const folded = foldLinks(totalsBefore, links.objects);
  const fullyListedIncarnations = findFullyListedIncarnations(links);
  const sealed = sealBatches(
    folded.totals,
    totalsBefore,
    fullyListedIncarnations,
  );
  if (isSameProgress(sealed, totalsBefore)) {
    const deletedCount = yield* deleteLinks(totalsBefore, links, request);
    return {...createOutcome('idle'), deletedCount};
  }
  const totalsAfter = finalizeTotals(sealed, links, request);
  const condition: WriteCondition =
    stored === undefined
      ? {kind: 'absent'}
      : {kind: 'version', version: stored.version};
  const value = JSON.stringify(totalsAfter);
  const write = yield* writeObject({key, value, condition});
  if (write.status !== 'written') return createOutcome(write.status);
  const deletedCount = yield* deleteLinks(totalsAfter, links, request);
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
  /** False when the listing had more pages than could be read. */
  readonly isComplete: boolean;
}

/**
 * Lists the links of a shard.
 *
 * @returns undefined if the object API failed or answered from a state older
 *   than `minStoreVersion`.
 */
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

/** Finds the incarnations of which every existing link was listed. */
function findFullyListedIncarnations(links: LinkListing): ReadonlySet<string> {
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
  totalsBefore: BillingTotals,
  objects: readonly StoredObject[],
): {totals: BillingTotals; foldedCount: number} {
  let totals = totalsBefore;
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

function finalizeTotals(
  totals: BillingTotals,
  links: LinkListing,
  request: CompactionRequest,
): BillingTotals {
  const {compactionId, previousId, retentionMs} = request;
  const {storeVersion, isComplete} = links;
  // Two processes that compact concurrently must not both count the same time,
  // so time counts only if this process wrote the previous totals.
  const isOwnInterval = totals.compactionId === previousId;
  const elapsedMs = isOwnInterval ? request.elapsedMs : 0;
  const observation = {storeVersion, elapsedMs, retentionMs};
  const retention = advanceRetention(totals.retention, observation);
  const next = {...totals, compactionId, retention};
  if (!isComplete) return next;
  const expiredVersion = findExpiredVersion(retention, retentionMs);
  return dropExpiredProgress(next, expiredVersion, listIncarnations(links));
}

/**
 * Deletes the links of sealed batches, and expired links that the totals
 * include. The last batches of a lost entry are never sealed. Their links are
 * kept for the retention period, since an entry that was only paused compares
 * the records it still has to write with them when it resumes.
 *
 * @returns the number of deletions that were confirmed.
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
