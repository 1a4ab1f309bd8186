import type {Random} from '../utils/random.js';
import {isAvailable, type ServerState} from './server_state.js';
import type {VersionPool} from './version_pool.js';

/** When and for how long a server is ejected, that is, gets no requests. */
export interface EjectionSettings {
  /** Consecutive failures after which a server is ejected. */
  readonly consecutiveFailures: number;
  /**
   * Consecutive failed connections after which a server is ejected, regardless
   * of `maxEjectedShare`.
   */
  readonly consecutiveUnreachable: number;
  /** Ratio of token latency to the pool's median that ejects a server. */
  readonly latencyFactor: number;
  /** Number of answers before the token latency is considered. */
  readonly minLatencySampleCount: number;
  /** Duration of the first ejection; doubles with each further one. */
  readonly baseEjectionMs: number;
  readonly maxEjectionMs: number;
  /**
   * Share of a pool that may be unavailable at once; at least one server stays
   * available.
   */
  readonly maxEjectedShare: number;
  /** Time after the end of an ejection at which the duration resets. */
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

/**
 * Ejects a server when its failures or its token latency exceed the limits.
 *
 * @param pools pools that the server belongs to.
 * @returns true when the server was ejected.
 */
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
  // One more failed connection after the ejection ends ejects it again.
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
