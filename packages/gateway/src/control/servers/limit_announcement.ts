import {decodeText} from '../hosts/announcement_fields.js';

/** What a host tells the others about the limit of a server. */
export interface LimitAnnouncement {
  readonly serverId: string;
  /** Start of the run of the server; undefined if it is not known. */
  readonly startedAtMs: number | undefined;
  /** Undefined if the server no longer names a limit. */
  readonly requestsPerS: number | undefined;
}

const NO_VALUE = '-';

/**
 * Encodes an announcement as fields without spaces.
 *
 * @example
 * ```ts
 * encodeLimitAnnouncement({serverId: 'i-1', startedAtMs: 17, requestsPerS: 2.5});
 * ```
 */
export function encodeLimitAnnouncement({
  serverId,
  startedAtMs,
  requestsPerS,
}: LimitAnnouncement): readonly string[] {
  return [
    encodeURIComponent(serverId),
    String(startedAtMs ?? NO_VALUE),
    String(requestsPerS ?? NO_VALUE),
  ];
}

/** Decodes an announcement; undefined if it is malformed. */
export function decodeLimitAnnouncement([
  id,
  started,
  limit,
]: readonly string[]): LimitAnnouncement | undefined {
  const startedAtMs = decodeNumber(started);
  const requestsPerS = decodeNumber(limit);
  const serverId = decodeText(id);
  if (!serverId || startedAtMs === null || requestsPerS === null)
    return undefined;
  return {serverId, startedAtMs, requestsPerS};
}

/** Returns null for a malformed field, undefined for a missing value. */
function decodeNumber(text: string | undefined): number | undefined | null {
  if (text === NO_VALUE) return undefined;
  const isNumber = text !== undefined && /^\d+(\.\d+)?$/.test(text);
  return isNumber ? Number(text) : null;
}
