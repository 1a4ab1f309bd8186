import type {Random} from '../utils/random.js';
import {isAvailable, type ServerState} from './server_state.js';
import type {VersionPool} from './version_pool.js';

/** When a server is taken out for a while. */
export interface EjectionSettings {
  /** Failures in a row that take a server out. */
  readonly consecutiveFailures: number;
  /** Failed connections in a row that do; no share of the pool is kept. */
  readonly consecutiveUnreachable: number;
  /** Pace over the median of the pool that takes a server out. */
  readonly latencyFactor: number;
  /** Answers before the pace counts. */
  readonly minLatencySampleCount: number;
  /** First time out; doubles with each further ejection. */
  readonly baseEjectionMs: number;
  readonly maxEjectionMs: number;
  /** Part of a pool that may be out at once; one server always stays. */
  readonly maxEjectedShare: number;
  /** Time in service after which an ejection is forgotten. */
  readonly backoffResetMs: number;
}

export const DEFAULT_EJECTION_SETTINGS: EjectionSettings = {
  consecutiveFailures: 3,
  consecutiveUnreachable: 2,
  latencyFactor: 3,
  minLatencySampleCount: 5,
  baseEjectionMs: 2000,
  maxEjectionMs: 60_000,
  maxEjectedShare: 0.5,
  backoffResetMs: 60_000,
};

const JITTER_SHARE = 0.2;
const MIN_LATENCY_SAMPLE_COUNT_AFTER_EJECTION = 2;

/** Takes a server out when its failures or pace call for it. */
export function ejectIfFailing(
  state: ServerState,
  pools: readonly VersionPool[],
  settings: EjectionSettings,
  nowMs: number,
  random: Random,
): boolean {
  if (!isAvailable(state, nowMs)) return false;
  const isUnreachable =
    state.consecutiveUnreachable >= settings.consecutiveUnreachable;
  const isFailingAndEjectable =
    isFailing(state, pools, settings, nowMs) &&
    pools.every(pool => canEjectOne(pool, settings, nowMs));
  if (!isUnreachable && !isFailingAndEjectable) return false;
  if (nowMs - state.slowStartBeginMs > settings.backoffResetMs)
    state.ejectionCount = 0;
  const backoffMs = settings.baseEjectionMs * 2 ** state.ejectionCount;
  const jitter = 1 + JITTER_SHARE * (2 * random() - 1);
  state.ejectionCount += 1;
  state.ejectedUntilMs =
    nowMs + Math.min(settings.maxEjectionMs, backoffMs) * jitter;
  state.slowStartBeginMs = state.ejectedUntilMs;
  state.consecutiveFailures = 0;
  // One more failed connection after the return takes it out again.
  state.consecutiveUnreachable = isUnreachable
    ? settings.consecutiveUnreachable - 1
    : 0;
  state.latencySampleCount = 0;
  state.tokenLatencyMs = 0;
  return true;
}

function isFailing(
  state: ServerState,
  pools: readonly VersionPool[],
  settings: EjectionSettings,
  nowMs: number,
): boolean {
  if (state.consecutiveFailures >= settings.consecutiveFailures) return true;
  const wasEjected = state.ejectionCount > 0;
  const minCount = wasEjected
    ? MIN_LATENCY_SAMPLE_COUNT_AFTER_EJECTION
    : settings.minLatencySampleCount;
  if (state.latencySampleCount < minCount) return false;
  return pools.some(pool => {
    const {medianTokenLatencyMs} = pool.readStatistics(nowMs);
    const limit = settings.latencyFactor * medianTokenLatencyMs;
    return medianTokenLatencyMs > 0 && state.tokenLatencyMs > limit;
  });
}

function canEjectOne(
  pool: VersionPool,
  settings: EjectionSettings,
  nowMs: number,
): boolean {
  const size = pool.states.length;
  const available = pool.states.filter(state => isAvailable(state, nowMs));
  const unavailableCount = size - available.length + 1;
  return (
    available.length > 1 && unavailableCount <= size * settings.maxEjectedShare
  );
}
