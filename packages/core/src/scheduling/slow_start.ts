import {hashToUnitInterval, rankHost} from '../utils/hash.js';

/** How far the requests that reach a cold server may exceed its rate. */
export interface SlowStartBounds {
  /** Factor on the requests a second that the server tolerates. */
  readonly overage: number;
  /** Requests beyond that in any second. */
  readonly extra: number;
}

/**
 * What this host knows about the other hosts. `known`: it has their list and
 * receives their messages; `doubtful`: its list may be old, as it receives messages of
 * no other host, or of one that isn't listed; `unlisted`: it has no list yet.
 */
export type HostKnowledge = 'known' | 'doubtful' | 'unlisted';

/** Input for this host's share of the rate of a cold server. */
export interface SlowStartShareRequest {
  readonly serverId: string;
  /** Requests a second that the cold server tolerates from all hosts. */
  readonly requestsPerS: number;
  readonly bounds: SlowStartBounds;
  /** Address of this host, by which the others know it. */
  readonly address: string;
  readonly otherAddresses: readonly string[];
  readonly knowledge: HostKnowledge;
}

/** The part of the rate of a cold server that one host may use. */
export interface SlowStartShare {
  /** Time between two sends; Infinity if only other hosts send there. */
  readonly intervalMs: number;
  /** Requests that this host may write within one window. */
  readonly maxPerWindow: number;
}

/** The sends of this host to a server that is or was cold. */
export interface SlowStart extends SlowStartShare {
  /** When the next request of this host is due. */
  readonly nextDueMs: number;
  /**
   * Times of the requests that were written in the last window, and the latest
   * times at which other hosts use the tokens that they got from this one.
   */
  readonly writtenMs: readonly number[];
  /** Until when the tokens may be used that other hosts have granted. */
  readonly grantedUntilMs: readonly number[];
  /** The server is warm from then on. */
  readonly untilMs: number;
}

/** The token with which a request was begun; `granted` by another host. */
export type SendToken =
  {readonly kind: 'own'} | {readonly kind: 'granted'; readonly untilMs: number};

/** State after a token was taken. */
export interface TakenToken {
  readonly slowStart: SlowStart;
  /** Undefined if there was none. */
  readonly token: SendToken | undefined;
}

/**
 * Time for which a granted token may be used, from the request for it. The host that
 * grants it counts it as used at the end of this time.
 */
export const TOKEN_VALIDITY_MS = 300;
const MS_PER_S = 1000;
/** The requests that reach a cold server are bounded in any time this long. */
const BOUND_WINDOW_MS = 1000;
/**
 * Difference between the times that two requests take from this process to the
 * server. Requests that are written one window apart arrive at least the time of
 * the bound apart.
 */
const ARRIVAL_JITTER_MS = 100;
const WRITE_WINDOW_MS = BOUND_WINDOW_MS + ARRIVAL_JITTER_MS;
/**
 * Hosts beyond one for each request a second that may send to a cold server. Each
 * may write one request in any window, so that their number is bounded.
 */
const EXTRA_SENDER_COUNT = 3;
/** The largest fleet, which a host assumes if it doesn't know the others. */
const MAX_HOST_COUNT = 300;
/**
 * Share of the senders of the largest fleet that may be hosts without a list.
 * They are those with the highest ranks, most of which the other hosts count as
 * senders too.
 */
const UNLISTED_SENDER_SHARE = 0.5;

/** The share of a host that sends nothing to a cold server. */
export const NO_SLOW_START_SHARE: SlowStartShare = {
  intervalMs: Infinity,
  maxPerWindow: 0,
};

/**
 * Counts the requests that may reach a cold server in one second.
 *
 * @example
 * ```ts
 * countAllowedArrivals(6.3, {overage: 1.5, extra: 5}); // 14
 * ```
 */
export function countAllowedArrivals(
  requestsPerS: number,
  {overage, extra}: SlowStartBounds,
): number {
  return Math.floor(requestsPerS * overage + extra);
}

/**
 * Computes the part of the rate of a cold server that this host may use. The load
 * condition is a server, or a failure domain of them, that starts under full
 * traffic: each host alone would send it its usual number of requests at once.
 * A few hosts, the same ones from the view of all, share the rate evenly. The
 * requests that they may write in one window add up to less than the bound, so
 * that it holds without any message.
 *
 * @example
 * ```ts
 * const {intervalMs} = computeSlowStartShare({
 *   serverId: 'i-1',
 *   requestsPerS: 6.3,
 *   bounds: {overage: 1.5, extra: 5},
 *   address: '10.0.0.1:7000',
 *   otherAddresses: ['10.0.0.2:7000'],
 *   knowledge: 'known',
 * }); // 317 ms
 * ```
 */
export function computeSlowStartShare(
  request: SlowStartShareRequest,
): SlowStartShare {
  const {requestsPerS, bounds, knowledge} = request;
  const allowed = countAllowedArrivals(requestsPerS, bounds);
  const senderCount = countSenders(request, allowed);
  if (senderCount < 1 || !isSender(request, senderCount))
    return NO_SLOW_START_SHARE;
  const sharePerS = requestsPerS / senderCount;
  const maxPerWindow = Math.min(
    Math.floor(allowed / senderCount),
    knowledge === 'known' ? Math.floor(sharePerS) + 1 : 1,
  );
  return {
    intervalMs: Math.max(MS_PER_S / sharePerS, WRITE_WINDOW_MS / maxPerWindow),
    maxPerWindow,
  };
}

function countSenders(
  {requestsPerS, otherAddresses, knowledge}: SlowStartShareRequest,
  allowed: number,
): number {
  const hostCount =
    knowledge === 'known' ? otherAddresses.length + 1 : MAX_HOST_COUNT;
  const wanted = Math.floor(requestsPerS) + EXTRA_SENDER_COUNT;
  return Math.min(hostCount, wanted, allowed);
}

function isSender(
  {serverId, address, otherAddresses, knowledge}: SlowStartShareRequest,
  senderCount: number,
): boolean {
  if (knowledge !== 'unlisted')
    return rankHost(serverId, address, otherAddresses) < senderCount;
  const share = (senderCount / MAX_HOST_COUNT) * UNLISTED_SENDER_SHARE;
  return hashToUnitInterval(`${serverId}/${address}`) >= 1 - share;
}

/**
 * Computes the time until this host may send a request to a server.
 *
 * @returns 0 if it may send now or the server isn't cold, Infinity if only other
 *     hosts send there.
 * @example
 * ```ts
 * const waitMs = computeSlowStartDelayMs(slowStart, performance.now());
 * ```
 */
export function computeSlowStartDelayMs(
  slowStart: SlowStart | undefined,
  nowMs: number,
): number {
  if (slowStart === undefined || nowMs >= slowStart.untilMs) return 0;
  if (slowStart.grantedUntilMs.some(untilMs => nowMs < untilMs)) return 0;
  return computeOwnDelayMs(slowStart, nowMs);
}

function computeOwnDelayMs(
  {intervalMs, nextDueMs}: SlowStart,
  nowMs: number,
): number {
  return intervalMs === Infinity ? Infinity : Math.max(0, nextDueMs - nowMs);
}

/**
 * Lists the hosts that may send to a cold server by the view of this host, without
 * itself. The first ones have the highest rank.
 *
 * @example
 * ```ts
 * const hosts = listSlowStartSenders(request); // at most 9 for 6.3 a second
 * ```
 */
export function listSlowStartSenders(
  request: SlowStartShareRequest,
): readonly string[] {
  const {serverId, address, otherAddresses, requestsPerS, bounds} = request;
  const allowed = countAllowedArrivals(requestsPerS, bounds);
  const senderCount = countSenders(request, allowed);
  return [address, ...otherAddresses]
    .map(host => ({host, rank: hashToUnitInterval(`${serverId}/${host}`)}))
    .sort((a, b) => b.rank - a.rank)
    .slice(0, Math.max(0, senderCount))
    .map(({host}) => host)
    .filter(host => host !== address);
}

/** Takes the token of a send that is begun now, or when its token is due. */
export function takeSlowStartToken(
  slowStart: SlowStart,
  nowMs: number,
): TakenToken {
  const ownDelayMs = computeOwnDelayMs(slowStart, nowMs);
  const granted = slowStart.grantedUntilMs.filter(untilMs => nowMs < untilMs);
  if (ownDelayMs > 0 && granted.length > 0) {
    const [untilMs, ...rest] = granted;
    return {
      slowStart: {...slowStart, grantedUntilMs: rest},
      token: {kind: 'granted', untilMs},
    };
  }
  if (ownDelayMs === Infinity) return {slowStart, token: undefined};
  const nextDueMs = nowMs + ownDelayMs + slowStart.intervalMs;
  return {slowStart: {...slowStart, nextDueMs}, token: {kind: 'own'}};
}

/**
 * Decides right before a request is written whether it may go to the server. The
 * time to make a connection differs between requests, so that those that were
 * begun an interval apart may be written together.
 *
 * @param token of the request; undefined if the server wasn't cold at its begin.
 * @returns the state after the write; undefined if it must not be written.
 * @example
 * ```ts
 * const next = confirmSlowStartSend(slowStart, {kind: 'own'}, performance.now());
 * ```
 */
export function confirmSlowStartSend(
  slowStart: SlowStart,
  token: SendToken | undefined,
  nowMs: number,
): SlowStart | undefined {
  if (nowMs >= slowStart.untilMs) return slowStart;
  if (token?.kind === 'granted')
    return nowMs < token.untilMs ? slowStart : undefined;
  if (token?.kind === 'own') return recordWrite(slowStart, nowMs, nowMs);
  if (computeSlowStartDelayMs(slowStart, nowMs) > 0) return undefined;
  const taken = takeSlowStartToken(slowStart, nowMs);
  return confirmSlowStartSend(taken.slowStart, taken.token, nowMs);
}

/**
 * Gives the token of this host to another one, if it has one now. It is subtracted
 * before the other host can use it, so that a lost message loses the token.
 *
 * @returns the state without the token; undefined if there is none.
 */
export function grantSlowStartToken(
  slowStart: SlowStart,
  nowMs: number,
): SlowStart | undefined {
  if (nowMs >= slowStart.untilMs || computeOwnDelayMs(slowStart, nowMs) > 0)
    return undefined;
  const nextDueMs = nowMs + slowStart.intervalMs;
  return recordWrite(
    {...slowStart, nextDueMs},
    nowMs + TOKEN_VALIDITY_MS,
    nowMs,
  );
}

/** Returns the state with a token that another host has granted. */
export function addGrantedToken(
  slowStart: SlowStart,
  untilMs: number,
  nowMs: number,
): SlowStart {
  const unused = slowStart.grantedUntilMs.filter(usedBy => nowMs < usedBy);
  return {...slowStart, grantedUntilMs: [...unused, untilMs]};
}

/** Adds a write; undefined if the window is full. */
function recordWrite(
  slowStart: SlowStart,
  writtenAtMs: number,
  nowMs: number,
): SlowStart | undefined {
  const writtenMs = slowStart.writtenMs.filter(
    earlierMs => nowMs - earlierMs < WRITE_WINDOW_MS,
  );
  if (writtenMs.length >= slowStart.maxPerWindow) return undefined;
  return {...slowStart, writtenMs: [...writtenMs, writtenAtMs]};
}
