import type {ModelVersion} from '../types/identity.js';
import {clamp} from '../utils/math.js';

/** A backend server as the settings, host list and its own reports give it. */
export interface BackendServer {
  readonly id: string;
  readonly failureDomain: string;
  /** Requests that it runs at once. */
  readonly slots: number;
  readonly loaded: readonly ModelVersion[];
}

/** A load report of a server; it lags. */
export interface LoadReport {
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Age when received. */
  readonly reportAgeMs: number;
}

/** Who said that a server is leaving; any one of them is enough. */
export type LeavingSource = 'hostList' | 'server' | 'peer';

/** How an attempt at a server ended. */
export interface AttemptOutcome {
  /** True when the server failed or could not be reached. */
  readonly isFailure: boolean;
  /** True when no connection to the server could be made or kept. */
  readonly isUnreachable?: boolean;
  /**
   * Time for each token after the first, or for the whole answer of a plain
   * service. The time to the first token tells of queues and caches instead.
   */
  readonly tokenLatencyMs?: number;
}

/** What is known of one server; changed by the balancer only. */
export interface ServerState {
  server: BackendServer;
  slots: number;
  /** Requests of this entry at the server. */
  inFlight: number;
  /** Requests of other entries, by the last report. */
  othersInFlight: number;
  readonly leavingSources: Set<LeavingSource>;
  consecutiveFailures: number;
  consecutiveUnreachable: number;
  /** Moving average of the pace; 0 before any. */
  paceMs: number;
  paceCount: number;
  ejectedUntilMs: number;
  ejectionCount: number;
  /** End of the last ejection; new work grows from there. */
  returnedMs: number;
}

/** Time over which a server that comes back gets its full share. */
export const SLOW_RETURN_MS = 10_000;
const MIN_RETURN_WEIGHT = 0.1;
const PACE_WEIGHT = 0.1;

export function createServerState(server: BackendServer): ServerState {
  return {
    server,
    slots: server.slots,
    inFlight: 0,
    othersInFlight: 0,
    leavingSources: new Set(),
    consecutiveFailures: 0,
    consecutiveUnreachable: 0,
    paceMs: 0,
    paceCount: 0,
    ejectedUntilMs: -Infinity,
    ejectionCount: 0,
    returnedMs: -Infinity,
  };
}

/** True when the server may get new work. */
export function isAvailable(state: ServerState, nowMs: number): boolean {
  return state.leavingSources.size === 0 && nowMs >= state.ejectedUntilMs;
}

/** Requests at the server, one about to be sent included, for each slot. */
export function readLoad(state: ServerState, nowMs: number): number {
  const atServer = state.inFlight + state.othersInFlight + 1;
  return atServer / state.slots / readReturnWeight(state, nowMs);
}

function readReturnWeight(state: ServerState, nowMs: number): number {
  const sinceMs = nowMs - state.returnedMs;
  if (sinceMs >= SLOW_RETURN_MS) return 1;
  return clamp(sinceMs / SLOW_RETURN_MS, MIN_RETURN_WEIGHT, 1);
}

/** Takes in a report; own requests are known better, so it gives the rest. */
export function applyReport(state: ServerState, report: LoadReport): void {
  state.slots = Math.max(1, report.slots);
  const atServer = report.running + report.queued;
  state.othersInFlight = Math.max(0, atServer - state.inFlight);
  if (report.isDraining) state.leavingSources.add('server');
  else state.leavingSources.delete('server');
}

/** Takes in the pace of an answer. */
export function applyPace(state: ServerState, paceMs: number): void {
  state.paceCount += 1;
  const weight = Math.max(PACE_WEIGHT, 1 / state.paceCount);
  state.paceMs += weight * (paceMs - state.paceMs);
}
