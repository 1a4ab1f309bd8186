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
}

/** No version has a known age. */
export const NO_RETENTION_MARKS: RetentionMarks = {marks: []};

/**
 * Ages the marks by `elapsedMs` and adds one for the version seen now. Of the
 * marks older than the retention only the newest is kept.
 *
 * @example
 * ```ts
 * advanceRetention(marks, page.storeVersion, 600_000, 86_400_000);
 * ```
 */
export function advanceRetention(
  retention: RetentionMarks,
  storeVersion: number,
  elapsedMs: number,
  retentionMs: number,
): RetentionMarks {
  const aged = retention.marks.map(mark => ({
    storeVersion: mark.storeVersion,
    ageMs: mark.ageMs + elapsedMs,
  }));
  const expired = aged.filter(mark => mark.ageMs >= retentionMs);
  const kept = aged.filter(mark => mark.ageMs < retentionMs);
  return {marks: [...expired.slice(-1), ...kept, {storeVersion, ageMs: 0}]};
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
      ? {marks: value.marks}
      : NO_RETENTION_MARKS;
  } catch {
    return NO_RETENTION_MARKS;
  }
}
