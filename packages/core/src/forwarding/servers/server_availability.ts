import type {RegisteredServer} from '../exchange_types.js';
import {
  computeSlowStartDelayMs,
  type SlowStart,
} from '../../scheduling/slow_start.js';
import {computeLimitDelayMs, type ServerLimit} from './server_limit.js';

/** What the responses of a server say about further requests from this host. */
export interface ServerAvailability {
  /** The server finishes its requests and accepts no new ones. */
  readonly isLeaving: boolean;
  /** The server wants no requests from this host before this time. */
  readonly pausedUntilMs: number;
  /** Undefined if the server has named no limit. */
  readonly limit: ServerLimit | undefined;
  /** Undefined if the server hasn't been cold. */
  readonly slowStart: SlowStart | undefined;
}

export const INITIAL_AVAILABILITY: ServerAvailability = {
  isLeaving: false,
  pausedUntilMs: -Infinity,
  limit: undefined,
  slowStart: undefined,
};

/** A server that asks for a longer pause is tried again after this time. */
const MAX_PAUSE_MS = 300_000;

/** True when both describe the same run of the same server. */
export function isSameRun(a: RegisteredServer, b: RegisteredServer): boolean {
  return a.id === b.id && a.startedAtMs === b.startedAtMs;
}

/** True while the server wants no requests from this host. */
export function isPaused(
  {pausedUntilMs}: ServerAvailability,
  nowMs: number,
): boolean {
  return nowMs < pausedUntilMs;
}

/**
 * Returns the availability after the server has asked for a pause. A longer
 * pause that is already in effect stays in effect.
 *
 * @param pauseMs requested duration in milliseconds; capped at five minutes.
 * @example
 * ```ts
 * const paused = pauseServer(INITIAL_AVAILABILITY, 1500, nowMs);
 * isPaused(paused, nowMs + 1000); // true
 * ```
 */
export function pauseServer(
  availability: ServerAvailability,
  pauseMs: number,
  nowMs: number,
): ServerAvailability {
  const untilMs = nowMs + Math.min(MAX_PAUSE_MS, pauseMs);
  return {
    ...availability,
    pausedUntilMs: Math.max(availability.pausedUntilMs, untilMs),
  };
}

/**
 * Computes the time until this host may send a request to a server.
 *
 * @returns Infinity if the server is leaving or only other hosts send there.
 * @example
 * ```ts
 * const delayMs = computeSendDelayMs(record.availability, performance.now());
 * ```
 */
export function computeSendDelayMs(
  availability: ServerAvailability,
  nowMs: number,
): number {
  if (availability.isLeaving) return Infinity;
  return Math.max(
    0,
    availability.pausedUntilMs - nowMs,
    computeRateDelayMs(availability, nowMs),
  );
}

/**
 * Computes the time until the rates that a server accepts, or tolerates while it
 * is cold, let this host send a request.
 *
 * @returns Infinity if only other hosts send there.
 */
export function computeRateDelayMs(
  {limit, slowStart}: ServerAvailability,
  nowMs: number,
): number {
  return Math.max(
    computeLimitDelayMs(limit, nowMs),
    computeSlowStartDelayMs(slowStart, nowMs),
  );
}

/** Time after which a caller may find a host that sends to limited servers. */
const OTHER_HOST_DELAY_MS = 1000;

/**
 * Computes the time until the first of several servers may receive requests.
 *
 * @returns 0 if one of them may receive requests now, or if there are none.
 * @example
 * ```ts
 * const waitMs = computePauseLeftMs(records.map(record => record.availability), nowMs);
 * ```
 */
export function computePauseLeftMs(
  availabilities: readonly ServerAvailability[],
  nowMs: number,
): number {
  const staying = availabilities.filter(({isLeaving}) => !isLeaving);
  if (staying.length === 0) return 0;
  const delayMs = Math.min(...staying.map(a => computeSendDelayMs(a, nowMs)));
  return delayMs === Infinity ? OTHER_HOST_DELAY_MS : delayMs;
}
