import type {AnswerRow, DurationCounts, RolloutSide} from '@anvilrudder/core';

/** What a host tells the others about a rollout. */
export interface RolloutAnnouncement {
  readonly service: string;
  readonly target: string;
  readonly durationMs: number;
  /** Time since the order, as known to the sender. */
  readonly elapsedMs: number;
  /** Index of the step that the sender has reached. */
  readonly step: number;
  /** The sender has found the new version bad. */
  readonly isVersionBad: boolean;
  /** Answers that the sender has counted. */
  readonly rows: readonly AnswerRow[];
  /** Sampled sessions that the sender has seen on the old version. */
  readonly heldSessions: readonly number[];
}

const SIDES: readonly RolloutSide[] = ['old', 'new'];
const ROW_FIELD_COUNT = 7;
const HELD_SESSIONS_FIELD = 7;
const DURATIONS_FIELD = 8;
const MAX_HASH = 0xffff_ffff;

/**
 * Encodes an announcement as fields without spaces.
 *
 * @example
 * ```ts
 * decodeRolloutAnnouncement(encodeRolloutAnnouncement(announcement));
 * ```
 */
export function encodeRolloutAnnouncement(
  announcement: RolloutAnnouncement,
): readonly string[] {
  const {service, target, durationMs, elapsedMs, step} = announcement;
  return [
    encodeURIComponent(service),
    encodeURIComponent(target),
    String(Math.round(durationMs)),
    String(Math.round(elapsedMs)),
    String(step),
    announcement.isVersionBad ? '1' : '0',
    announcement.rows.map(encodeRow).join(','),
    announcement.heldSessions.map(hash => hash.toString(16)).join(','),
    // Apart from the rows, which earlier builds decode strictly.
    announcement.rows.map(encodeDurations).join(','),
  ];
}

/** Decodes an announcement; undefined if it is malformed. */
export function decodeRolloutAnnouncement(
  fields: readonly string[],
): RolloutAnnouncement | undefined {
  const [service, target, duration, elapsed, stepField, bad, rowFields] =
    fields;
  // Missing in datagrams of earlier builds.
  const heldSessions = decodeHashes(fields[HELD_SESSIONS_FIELD] ?? '');
  if (rowFields === undefined) return undefined;
  const [durationMs, elapsedMs, step] = [duration, elapsed, stepField].map(
    Number,
  );
  if (!(durationMs > 0 && elapsedMs >= 0)) return undefined;
  if (!Number.isSafeInteger(step) || step < 0) return undefined;
  const rows = decodeRows(rowFields, fields[DURATIONS_FIELD] ?? '');
  const names = [service, target].map(decodeName);
  if (rows === undefined || names.includes(undefined)) return undefined;
  if (heldSessions === undefined) return undefined;
  return {
    service: names[0] ?? '',
    target: names[1] ?? '',
    durationMs,
    elapsedMs,
    step,
    isVersionBad: bad === '1',
    rows,
    heldSessions,
  };
}

function decodeHashes(text: string): readonly number[] | undefined {
  if (text === '') return [];
  const hashes = text.split(',').map(field => parseInt(field, 16));
  return hashes.every(hash => hash >= 0 && hash <= MAX_HASH)
    ? hashes
    : undefined;
}

function encodeRow({route, side, counters}: AnswerRow): string {
  const {requests, failures, slowness} = counters;
  return [
    encodeURIComponent(route),
    side,
    requests,
    failures,
    slowness.count,
    slowness.sum.toFixed(2),
    slowness.squareSum.toFixed(2),
  ].join(':');
}

function encodeDurations({counters}: AnswerRow): string {
  const {count, slowCount} = counters.durations;
  return `${count}:${slowCount}`;
}

function decodeRows(
  text: string,
  durationsText: string,
): readonly AnswerRow[] | undefined {
  if (text === '') return [];
  const durationFields = durationsText.split(',');
  const rows = text
    .split(',')
    .map((field, index) => decodeRow(field, durationFields[index]));
  return rows.every(row => row !== undefined) ? rows : undefined;
}

/** Returns zero counts for the missing field of earlier builds. */
function decodeDurations(text: string | undefined): DurationCounts | undefined {
  if (!text) return {count: 0, slowCount: 0};
  const [count, slowCount] = text.split(':').map(Number);
  if (!Number.isSafeInteger(count) || !Number.isSafeInteger(slowCount))
    return undefined;
  return slowCount >= 0 && slowCount <= count ? {count, slowCount} : undefined;
}

function decodeRow(
  text: string,
  durationsText: string | undefined,
): AnswerRow | undefined {
  const fields = text.split(':');
  if (fields.length !== ROW_FIELD_COUNT) return undefined;
  const route = decodeName(fields[0]);
  const side = SIDES.find(known => known === fields[1]);
  const numbers = fields.slice(2).map(Number);
  if (route === undefined || side === undefined) return undefined;
  if (!numbers.every(Number.isFinite)) return undefined;
  const [requests, failures, count, sum, squareSum] = numbers;
  const isConsistent =
    failures >= 0 && failures <= requests && count >= 0 && count <= requests;
  const durations = decodeDurations(durationsText);
  if (!isConsistent || durations === undefined) return undefined;
  return {
    route,
    side,
    counters: {
      requests,
      failures,
      slowness: {count, sum, squareSum},
      durations,
    },
  };
}

function decodeName(text: string): string | undefined {
  try {
    return decodeURIComponent(text);
  } catch {
    return undefined;
  }
}
