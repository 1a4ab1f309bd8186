/** An audited change: who made it, what and why, and its outcome. */
export interface AuditRecord {
  /** Unique to the change and its outcome; a repeated record is stored once. */
  readonly id: string;
  /** Wall clock of the writing host; for display only. */
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

/** A record with its position in the audit trail. */
export interface AuditEntry extends AuditRecord {
  /** Position in the trail, counted from 1 without gaps. */
  readonly sequence: number;
}

/** Which entries to list; an undefined field matches every entry. */
export interface AuditFilter {
  readonly who?: string;
  readonly action?: string;
  /** Lists only entries with a higher sequence. */
  readonly afterSequence?: number;
  /** Maximum number of entries. */
  readonly limit?: number;
}

/** Prefix of the object keys of the audit trail. */
export const AUDIT_PREFIX = 'audit/';

/** Maximum number of records in one object. */
export const MAX_AUDIT_BATCH = 100;

/** Maximum length of a text field, in characters. */
const MAX_FIELD_LENGTH = 500;

const SEQUENCE_DIGITS = 12;

/** Formats the key of the object whose first record has the given sequence. */
export function formatAuditKey(sequence: number): string {
  const suffix = String(sequence).padStart(SEQUENCE_DIGITS, '0');
  return `${AUDIT_PREFIX}${suffix}`;
}

/** Parses the sequence from a key written by {@link formatAuditKey}. */
export function parseAuditKey(key: string): number {
  return Number(key.slice(AUDIT_PREFIX.length));
}

/** Encodes records as the value of one object. */
export function encodeAuditRecords(records: readonly AuditRecord[]): string {
  return JSON.stringify(records);
}

/** Decodes entries from an object written by {@link encodeAuditRecords}. */
export function parseAuditObject(
  key: string,
  value: string,
): readonly AuditEntry[] {
  const first = parseAuditKey(key);
  const records = JSON.parse(value) as readonly AuditRecord[];
  return records.map((record, i) => ({...record, sequence: first + i}));
}

/**
 * Copies the known fields and truncates long texts, so that neither the content
 * of a rule file nor a key gets into the audit trail by accident.
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
    host: truncateText(record.host),
    action: truncateText(record.action),
    who: truncateText(record.who),
    why: truncateText(record.why),
    beforeRevision: record.beforeRevision,
    afterRevision: record.afterRevision,
    outcome: truncateText(record.outcome),
  };
}

function truncateText(text: string): string {
  return text.slice(0, MAX_FIELD_LENGTH);
}

/** Returns whether an entry matches a filter, ignoring the filter's limit. */
export function isAuditMatch(entry: AuditEntry, filter: AuditFilter): boolean {
  const {who, action, afterSequence = 0} = filter;
  return (
    entry.sequence > afterSequence &&
    (who === undefined || entry.who === who) &&
    (action === undefined || entry.action === action)
  );
}
