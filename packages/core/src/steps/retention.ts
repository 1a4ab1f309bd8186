/** The version that the store had when a mark was made, and its age. */
export interface RetentionMark {
  readonly storeVersion: number;
  readonly ageMs: number;
}

/**
 * Ages of store versions, passed on from one collector to the next. Only time
 * that a collector measured on its own monotonic clock counts, so an age is
 * never too high and no wall clocks of two hosts are compared.
 */
export interface RetentionMarks {
  readonly marks: readonly RetentionMark[];
  /** Unique to one write of the marks, where they are an object. */
  readonly stamp?: string;
}

/** No version has a known age. */
export const NO_RETENTION_MARKS: RetentionMarks = {marks: []};

/** What a collector saw since it last advanced the marks. */
export interface RetentionObservation {
  /** Version of the store now. */
  readonly storeVersion: number;
  /** Time that the collector itself measured. */
  readonly elapsedMs: number;
  readonly retentionMs: number;
}

/** Marks kept at most for one retention. */
const MARKS_PER_RETENTION = 48;

/**
 * Ages the marks and, when the newest is old enough, adds one for the version
 * seen now. Of the marks older than the retention only the newest is kept.
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
 * Finds the newest store version that is older than the retention; objects
 * last written at or before it are expired. Zero when none is.
 */
export function findExpiredVersion(
  retention: RetentionMarks,
  retentionMs: number,
): number {
  const expired = retention.marks.filter(mark => mark.ageMs >= retentionMs);
  return Math.max(0, ...expired.map(mark => mark.storeVersion));
}

/** Parses marks as written by `JSON.stringify`; unreadable text has none. */
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
