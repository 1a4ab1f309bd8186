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
  formatAuditKey,
  type AuditEntry,
  type AuditFilter,
  type AuditRecord,
} from './audit_record.js';

/** A writer's view of the end of the audit trail. */
export interface AuditTail {
  /** Lowest sequence that is free as far as the writer knows. */
  readonly nextSequence: number;
  /** Sequence of each recent record, by record id. */
  readonly sequenceById: ReadonlyMap<string, number>;
}

/**
 * Outcome of {@link appendAudit}. After `failed`, the caller may append the
 * same records again.
 */
export interface AuditAppend {
  readonly status: 'written' | 'failed';
  readonly tail: AuditTail;
}

/** Key of the object that contains a sequence near the end of the trail. */
export const AUDIT_HINT_KEY = 'audit-hint';

/** Number of records before the hint that are read to detect duplicate ids. */
const DUPLICATE_WINDOW = 1000;

/** Maximum number of record ids that a writer remembers. */
const MAX_REMEMBERED_IDS = 10_000;

/**
 * Maximum number of write attempts of one append; an attempt is used up when
 * another writer takes the sequence first.
 */
const MAX_APPEND_ATTEMPTS = 20;

/**
 * Finds the end of the audit trail, reading from shortly before the hint.
 *
 * @returns undefined when the object API was unavailable.
 */
export function* findAuditTail(): StoreProtocol<AuditTail | undefined> {
  const read: ReadOutcome = yield* readObject(AUDIT_HINT_KEY);
  if (read.status === 'failed') return undefined;
  const hint = Number(read.object?.value ?? 0);
  // Objects are keyed by their first record, and which records those are is not
  // known here, so the window starts one batch earlier.
  const from = Math.max(1, hint - DUPLICATE_WINDOW - MAX_AUDIT_BATCH);
  return yield* readToEnd({nextSequence: from, sequenceById: new Map()});
}

function* readToEnd(tail: AuditTail): StoreProtocol<AuditTail | undefined> {
  let after: string | undefined = formatAuditKey(tail.nextSequence - 1);
  let next = tail;
  while (after !== undefined) {
    const list: ListOutcome = yield* listObjects(AUDIT_PREFIX, after);
    if (list.status === 'failed') return undefined;
    next = list.page.objects.reduce(applyObject, next);
    after = list.page.nextAfter;
  }
  return next;
}

function applyObject(tail: AuditTail, object: StoredObject): AuditTail {
  const entries = parseAuditObject(object.key, object.value);
  const ids = new Map(tail.sequenceById);
  for (const {id, sequence} of entries) ids.set(id, sequence);
  for (const id of ids.keys()) {
    if (ids.size <= MAX_REMEMBERED_IDS) break;
    ids.delete(id);
  }
  const last = entries.at(-1)?.sequence ?? 0;
  const nextSequence = Math.max(tail.nextSequence, last + 1);
  return {nextSequence, sequenceById: ids};
}

/**
 * Appends the records that the audit trail does not contain yet, at the first
 * free sequence. The writer reads every record before the position that it
 * writes. It therefore finds an id recorded by another writer, or by a write of
 * its own whose response was lost, and does not write it again.
 */
export function* appendAudit(
  records: readonly AuditRecord[],
  start: AuditTail,
): StoreProtocol<AuditAppend> {
  let tail = start;
  for (let attempt = 0; attempt < MAX_APPEND_ATTEMPTS; attempt++) {
    const missing = records.filter(r => !tail.sequenceById.has(r.id));
    if (missing.length === 0) return {status: 'written', tail};
    const key = formatAuditKey(tail.nextSequence);
    const value = encodeAuditRecords(missing.slice(0, MAX_AUDIT_BATCH));
    const write: WriteOutcome = yield* writeObject({
      key,
      value,
      condition: {kind: 'absent'},
    });
    // The tail is not advanced, so a retry finds this write if it took effect.
    if (write.status === 'failed') return {status: 'failed', tail};
    if (write.status === 'written') {
      const {version} = write;
      tail = applyObject(tail, {key, version, value});
      continue;
    }
    if (write.current === undefined) continue;
    tail = applyObject(tail, write.current);
    tail = (yield* readToEnd(tail)) ?? tail;
  }
  return {status: 'failed', tail};
}

/**
 * Lists matching entries in order of sequence, up to the limit.
 *
 * @returns undefined when the object API was unavailable.
 */
export function* listAudit(
  filter: AuditFilter,
): StoreProtocol<readonly AuditEntry[] | undefined> {
  const {afterSequence = 0, limit = Infinity} = filter;
  const from = Math.max(0, afterSequence - MAX_AUDIT_BATCH);
  const entries: AuditEntry[] = [];
  let after: string | undefined = formatAuditKey(from);
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
