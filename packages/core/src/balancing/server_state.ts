import type {ModelVersion} from '../types/identity.js';
import {clamp} from '../utils/math.js';

/** A backend server, from the settings, the host list and its own reports. */
export interface BackendServer {
  readonly id: string;
  readonly failureDomain: string;
  /** Number of requests that it runs concurrently. */
  readonly slots: number;
  readonly loaded: readonly ModelVersion[];
}

/** A load report of a server; it may be out of date. */
export interface LoadReport {
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Age of the report when it was received. */
  readonly reportAgeMs: number;
}

/** Source of a leaving mark; one source is enough to stop new requests. */
export type LeavingSource = 'hostList' | 'server' | 'peer';

/** Outcome of an attempt at a server. */
export interface AttemptOutcome {
  /** True when the server failed or could not be reached. */
  readonly isFailure: boolean;
  /** True when no connection to the server could be made or kept. */
  readonly isUnreachable?: boolean;
  /**
   * Token latency: mean time per token after the first, or the time of the
   * whole answer of a plain (non-token) service. The time to the first token is
   * left out because it depends on queues and caches.
   */
  readonly tokenLatencyMs?: number;
}

/** State of one server; modified by the balancer only. */
export interface ServerState {
  server: BackendServer;
  slots: number;
  /** Requests in flight from this entry. */
  inFlight: number;
  /** Requests in flight from other entries, by the last report. */
  othersInFlight: number;
  readonly leavingSources: Set<LeavingSource>;
  consecutiveFailures: number;
  consecutiveUnreachable: number;
  /** Moving average of the token latency; 0 before the first sample. */
  tokenLatencyMs: number;
  latencySampleCount: number;
  ejectedUntilMs: number;
  ejectionCount: number;
  /** End of the last ejection, at which slow start begins. */
  slowStartBeginMs: number;
}

/** Time after an ejection over which a server ramps up to its full share. */
export const SLOW_START_MS = 10_000;
const MIN_SLOW_START_WEIGHT = 0.1;
const LATENCY_WEIGHT = 0.1;

export function createServerState(server: BackendServer): ServerState {
  return {
    server,
    slots: server.slots,
    inFlight: 0,
    othersInFlight: 0,
    leavingSources: new Set(),
    consecutiveFailures: 0,
    consecutiveUnreachable: 0,
    tokenLatencyMs: 0,
    latencySampleCount: 0,
    ejectedUntilMs: -Infinity,
    ejectionCount: 0,
    slowStartBeginMs: -Infinity,
  };
}

/** True when the server may get new requests. */
export function isAvailable(state: ServerState, nowMs: number): boolean {
  return state.leavingSources.size === 0 && nowMs >= state.ejectedUntilMs;
}

/**
 * Computes the requests per slot at the server, with the request to be sent
 * included; raised during slow start.
 */
export function readLoad(state: ServerState, nowMs: number): number {
  const atServer = state.inFlight + state.othersInFlight + 1;
  return atServer / state.slots / computeSlowStartWeight(state, nowMs);
}

function computeSlowStartWeight(state: ServerState, nowMs: number): number {
  const sinceMs = nowMs - state.slowStartBeginMs;
  if (sinceMs >= SLOW_START_MS) return 1;
  return clamp(sinceMs / SLOW_START_MS, MIN_SLOW_START_WEIGHT, 1);
}

/**
 * Updates the state from a load report. The entry's own requests are known more
 * precisely, so the report only serves to derive those of other entries.
 */
export function applyLoadReport(state: ServerState, report: LoadReport): void {
  state.slots = Math.max(1, report.slots);
  const atServer = report.running + report.queued;
  state.othersInFlight = Math.max(0, atServer - state.inFlight);
  if (report.isDraining) state.leavingSources.add('server');
  else state.leavingSources.delete('server');
}

/** Adds the token latency of an answer to the moving average. */
export function recordTokenLatency(
  state: ServerState,
  tokenLatencyMs: number,
): void {
  state.latencySampleCount += 1;
  const weight = Math.max(LATENCY_WEIGHT, 1 / state.latencySampleCount);
  state.tokenLatencyMs += weight * (tokenLatencyMs - state.tokenLatencyMs);
}
