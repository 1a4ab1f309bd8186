import {
  listObjects,
  readObject,
  writeObject,
  type WriteOutcome,
  type ListOutcome,
  type ReadOutcome,
  type StoreProtocol,
} from '../steps/store_step.js';
import type {StoredObject} from '../types/object_store.js';
import {
  AUDIT_PREFIX,
  encodeAuditRecords,
  isAuditMatch,
  MAX_AUDIT_BATCH,
  parseAuditObject,
  resolveAuditKey,
  type AuditEntry,
  type AuditFilter,
  type AuditRecord,
} from './audit_record.js';

/** What a writer knows of the end of the trail. */
export interface AuditTail {
  readonly nextSequence: number;
  /** Sequence of each recent id. */
  readonly sequenceById: ReadonlyMap<string, number>;
}

/** Outcome of {@link appendAudit}; after `failed` the same may be repeated. */
export interface AuditAppend {
  readonly status: 'written' | 'failed';
  readonly tail: AuditTail;
}

/** Object that holds a sequence near the end of the trail. */
export const AUDIT_HINT_KEY = 'audit-hint';

/** Records read before the hint, so that a repeated id is found. */
const REPEAT_WINDOW = 1000;

/** Ids remembered by a writer. */
const MAX_IDS = 10_000;

/** Writers that may be first before an append is given up for now. */
const APPEND_ATTEMPTS = 20;

/**
 * Finds the end of the trail from the hint on.
 *
 * @returns undefined when the object API was out.
 */
export function* findAuditTail(): StoreProtocol<AuditTail | undefined> {
  const read: ReadOutcome = yield* readObject(AUDIT_HINT_KEY);
  if (read.status === 'failed') return undefined;
  const hint = Number(read.object?.value ?? 0);
  // Objects begin at unknown sequences, so the window reaches one batch back.
  const from = Math.max(1, hint - REPEAT_WINDOW - MAX_AUDIT_BATCH);
  return yield* readToEnd({nextSequence: from, sequenceById: new Map()});
}

function* readToEnd(tail: AuditTail): StoreProtocol<AuditTail | undefined> {
  let after: string | undefined = resolveAuditKey(tail.nextSequence - 1);
  let next = tail;
  while (after !== undefined) {
    const list: ListOutcome = yield* listObjects(AUDIT_PREFIX, after);
    if (list.status === 'failed') return undefined;
    next = list.page.objects.reduce(absorbObject, next);
    after = list.page.nextAfter;
  }
  return next;
}

function absorbObject(tail: AuditTail, object: StoredObject): AuditTail {
  const entries = parseAuditObject(object.key, object.value);
  const ids = new Map(tail.sequenceById);
  for (const {id, sequence} of entries) ids.set(id, sequence);
  for (const id of ids.keys()) {
    if (ids.size <= MAX_IDS) break;
    ids.delete(id);
  }
  const last = entries.at(-1)?.sequence ?? 0;
  const nextSequence = Math.max(tail.nextSequence, last + 1);
  return {nextSequence, sequenceById: ids};
}

/**
 * Appends records that the trail does not have yet, at the first free
 * sequence. A writer reads every record before the one that it creates, so an
 * id that another writer has recorded, or an own write whose answer was lost,
 * is found and not written again.
 */
export function* appendAudit(
  records: readonly AuditRecord[],
  start: AuditTail,
): StoreProtocol<AuditAppend> {
  let tail = start;
  for (let attempt = 0; attempt < APPEND_ATTEMPTS; attempt++) {
    const missing = records.filter(r => !tail.sequenceById.has(r.id));
    if (missing.length === 0) return {status: 'written', tail};
    const key = resolveAuditKey(tail.nextSequence);
    const value = encodeAuditRecords(missing.slice(0, MAX_AUDIT_BATCH));
    const write: WriteOutcome = yield* writeObject({
      key,
      value,
      condition: {kind: 'absent'},
    });
    // The tail stays where it was: a repeat meets the write if it took effect.
    if (write.status === 'failed') return {status: 'failed', tail};
    if (write.status === 'written') {
      const {version} = write;
      tail = absorbObject(tail, {key, version, value});
      continue;
    }
    if (write.current === undefined) continue;
    tail = absorbObject(tail, write.current);
    tail = (yield* readToEnd(tail)) ?? tail;
  }
  return {status: 'failed', tail};
}

/**
 * Lists matching entries in order, up to the limit.
 *
 * @returns undefined when the object API was out.
 */
export function* listAudit(
  filter: AuditFilter,
): StoreProtocol<readonly AuditEntry[] | undefined> {
  const {afterSequence = 0, limit = Infinity} = filter;
  const from = Math.max(0, afterSequence - MAX_AUDIT_BATCH);
  const entries: AuditEntry[] = [];
  let after: string | undefined = resolveAuditKey(from);
  while (after !== undefined && entries.length < limit) {
    const list: ListOutcome = yield* listObjects(AUDIT_PREFIX, after);
    if (list.status === 'failed') return undefined;
    const found = list.page.objects
      .flatMap(object => parseAuditObject(object.key, object.value))
      .filter(entry => isAuditMatch(entry, filter));
    entries.push(...found);
    after = list.page.nextAfter;
  }
  return entries.slice(0, limit);
}
