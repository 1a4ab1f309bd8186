/** A version of the store, and the time since the store had it. */
export interface RetentionMark {
  readonly storeVersion: number;
  readonly ageMs: number;
}

/**
 * Ages of store versions, handed over from one collector to the next. They sum
 * up only time that a collector measured on its own monotonic clock, so an age
 * is never too high, and wall clocks of different hosts are never compared.
 */
export interface RetentionMarks {
  readonly marks: readonly RetentionMark[];
  /** Unique to one write, where the marks are a stored object of their own. */
  readonly stamp?: string;
}

/** Marks without any version. */
export const NO_RETENTION_MARKS: RetentionMarks = {marks: []};

/** What a collector observed since it last advanced the marks. */
export interface RetentionObservation {
  /** Current version of the store. */
  readonly storeVersion: number;
  /** Time since the marks were last advanced, as the collector measured it. */
  readonly elapsedMs: number;
  /** The retention period. */
  readonly retentionMs: number;
}

/** Maximum number of marks per retention period. */
const MARKS_PER_RETENTION = 48;

/**
 * Increases the ages of the marks and, when the newest is old enough, adds a
 * mark for the current version. Of the marks older than the retention period
 * only the newest is kept.
 *
 * @example
 * ```ts
 * advanceRetention(marks, {storeVersion, elapsedMs, retentionMs: DAY_MS});
 * ```
 */
export function advanceRetention(
  retention: RetentionMarks,
  step: RetentionObservation,
): RetentionMarks {
  const {storeVersion, elapsedMs, retentionMs} = step;
  const aged = retention.marks.map(mark => ({
    storeVersion: mark.storeVersion,
    ageMs: mark.ageMs + elapsedMs,
  }));
  const expired = aged.filter(mark => mark.ageMs >= retentionMs);
  const kept = aged.filter(mark => mark.ageMs < retentionMs);
  const marks = [...expired.slice(-1), ...kept];
  const newestAgeMs = kept.at(-1)?.ageMs ?? Infinity;
  const isMarkDue = newestAgeMs >= retentionMs / MARKS_PER_RETENTION;
  return {marks: isMarkDue ? [...marks, {storeVersion, ageMs: 0}] : marks};
}

/**
 * Finds the newest store version that is older than the retention period.
 * Objects last written at or before it are expired.
 *
 * @returns 0 when no version is older.
 */
export function findExpiredVersion(
  retention: RetentionMarks,
  retentionMs: number,
): number {
  const expired = retention.marks.filter(mark => mark.ageMs >= retentionMs);
  return Math.max(0, ...expired.map(mark => mark.storeVersion));
}

/** Parses marks written by `JSON.stringify`; invalid text gives no marks. */
export function parseRetention(text: string | undefined): RetentionMarks {
  if (text === undefined) return NO_RETENTION_MARKS;
  try {
    const value = JSON.parse(text) as Partial<RetentionMarks>;
    return Array.isArray(value.marks)
      ? {marks: value.marks, stamp: value.stamp}
      : NO_RETENTION_MARKS;
  } catch {
    return NO_RETENTION_MARKS;
  }
}
