import {rankHost} from '../../utils/hash.js';

/**
 * The requests a second that a server accepts from all hosts together, and the
 * part of them that this host may send.
 */
export interface ServerLimit {
  readonly requestsPerS: number;
  /** 0 if only other hosts send requests to the server. */
  readonly sharePerS: number;
  /** When the next request of this host is due at its share's rate. */
  readonly nextDueMs: number;
  /** The limit no longer holds then, unless it is named again. */
  readonly expiresMs: number;
}

/** Input for this host's share of a server's limit. */
export interface LimitShareRequest {
  readonly serverId: string;
  readonly requestsPerS: number;
  /** Address of this host, by which the others know it. */
  readonly address: string;
  readonly otherAddresses: readonly string[];
}

const MS_PER_S = 1000;
/**
 * Hosts beyond one for each request a second that may send to a limited server.
 * Each may begin with a request at once, so that their number is bounded.
 */
const EXTRA_SENDER_COUNT = 3;
/** Requests that a host may send at once, as a duration at its share's rate. */
const BURST_S = 0.5;

/**
 * Computes the requests a second that this host may send to a limited server. A
 * few hosts, the same ones from the view of all, share the limit evenly, so that
 * the sum keeps it without a message for each request.
 *
 * @returns 0 if only other hosts send to the server.
 * @example
 * ```ts
 * const sharePerS = computeLimitShare({
 *   serverId: 'i-1',
 *   requestsPerS: 2,
 *   address: '10.0.0.1:7000',
 *   otherAddresses: ['10.0.0.2:7000'],
 * }); // 1
 * ```
 */
export function computeLimitShare({
  serverId,
  requestsPerS,
  address,
  otherAddresses,
}: LimitShareRequest): number {
  const senderCount = Math.min(
    otherAddresses.length + 1,
    Math.floor(requestsPerS) + EXTRA_SENDER_COUNT,
  );
  const rank = rankHost(serverId, address, otherAddresses);
  return rank < senderCount ? requestsPerS / senderCount : 0;
}

/**
 * Computes the time until this host may send a request to a limited server.
 *
 * @returns 0 if it may send now, Infinity if only other hosts send there.
 * @example
 * ```ts
 * const waitMs = computeLimitDelayMs(limit, performance.now());
 * ```
 */
export function computeLimitDelayMs(
  limit: ServerLimit | undefined,
  nowMs: number,
): number {
  if (limit === undefined || nowMs >= limit.expiresMs) return 0;
  if (limit.sharePerS <= 0) return Infinity;
  const burstMs = BURST_S * MS_PER_S - MS_PER_S / limit.sharePerS;
  return Math.max(0, limit.nextDueMs - Math.max(0, burstMs) - nowMs);
}

/** Returns the limit after this host has sent a request, or is about to. */
export function takeFromLimit(limit: ServerLimit, nowMs: number): ServerLimit {
  const intervalMs = MS_PER_S / limit.sharePerS;
  const nextDueMs = Math.max(limit.nextDueMs, nowMs) + intervalMs;
  return limit.sharePerS > 0 ? {...limit, nextDueMs} : limit;
}
