/** What happened: who changed what, why, and how it ended. */
export interface AuditRecord {
  /** Unique to the change and its outcome; a repeat is recorded once. */
  readonly id: string;
  /** Wall clock of the host that wrote the record; for readers only. */
  readonly timeMs: number;
  readonly host: string;
  /** Such as `rules.apply`, `rollout.step`, `version.stop` or `key.rotate`. */
  readonly action: string;
  readonly who: string;
  readonly why: string;
  readonly beforeRevision: number;
  readonly afterRevision: number;
  readonly outcome: string;
}

/** A record with its place in the trail. */
export interface AuditEntry extends AuditRecord {
  /** Counts from 1 without gaps. */
  readonly sequence: number;
}

/** Which entries to list; undefined matches everything. */
export interface AuditFilter {
  readonly who?: string;
  readonly action?: string;
  readonly afterSequence?: number;
  readonly limit?: number;
}

/** Prefix of the trail. */
export const AUDIT_PREFIX = 'audit/';

/** Records of one object at most. */
export const MAX_AUDIT_BATCH = 100;

/** Longest text of one field, in characters. */
const MAX_FIELD_LENGTH = 500;

const SEQUENCE_DIGITS = 12;

/** Object key of the records that begin at a sequence. */
export function resolveAuditKey(sequence: number): string {
  const suffix = String(sequence).padStart(SEQUENCE_DIGITS, '0');
  return `${AUDIT_PREFIX}${suffix}`;
}

/** Parses the sequence of a key of {@link resolveAuditKey}. */
export function parseAuditKey(key: string): number {
  return Number(key.slice(AUDIT_PREFIX.length));
}

/** Encodes the records of one object. */
export function encodeAuditRecords(records: readonly AuditRecord[]): string {
  return JSON.stringify(records);
}

/** Parses what {@link encodeAuditRecords} wrote into entries. */
export function parseAuditObject(
  key: string,
  value: string,
): readonly AuditEntry[] {
  const first = parseAuditKey(key);
  const records = JSON.parse(value) as readonly AuditRecord[];
  return records.map((record, i) => ({...record, sequence: first + i}));
}

/**
 * Keeps the known fields only and bounds their length, so that neither the
 * content of a rule file nor a key gets into the trail by accident.
 *
 * @example
 * ```ts
 * normalizeAuditRecord({...record, why: 'x'.repeat(9999)}).why.length; // 500
 * ```
 */
export function normalizeAuditRecord(record: AuditRecord): AuditRecord {
  return {
    id: record.id,
    timeMs: record.timeMs,
    host: limitText(record.host),
    action: limitText(record.action),
    who: limitText(record.who),
    why: limitText(record.why),
    beforeRevision: record.beforeRevision,
    afterRevision: record.afterRevision,
    outcome: limitText(record.outcome),
  };
}

function limitText(text: string): string {
  return text.slice(0, MAX_FIELD_LENGTH);
}

/** True when an entry is wanted by a filter. */
export function isAuditMatch(entry: AuditEntry, filter: AuditFilter): boolean {
  const {who, action, afterSequence = 0} = filter;
  return (
    entry.sequence > afterSequence &&
    (who === undefined || entry.who === who) &&
    (action === undefined || entry.action === action)
  );
}
