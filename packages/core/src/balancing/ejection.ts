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
  readonly paceFactor: number;
  /** Answers before the pace counts. */
  readonly minPaceCount: number;
  /** First time out; doubles with each further ejection. */
  readonly baseMs: number;
  readonly maxMs: number;
  /** Part of a pool that may be out at once; one server always stays. */
  readonly maxEjectedShare: number;
  /** Time in service after which an ejection is forgotten. */
  readonly forgetMs: number;
}

export const DEFAULT_EJECTION_SETTINGS: EjectionSettings = {
  consecutiveFailures: 3,
  consecutiveUnreachable: 2,
  paceFactor: 3,
  minPaceCount: 5,
  baseMs: 2000,
  maxMs: 60_000,
  maxEjectedShare: 0.5,
  forgetMs: 60_000,
};

const JITTER_SHARE = 0.2;
const RETURNED_PACE_COUNT = 2;

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
  const isFailingAndSpare =
    isFailing(state, pools, settings, nowMs) &&
    pools.every(pool => canSpareOne(pool, settings, nowMs));
  if (!isUnreachable && !isFailingAndSpare) return false;
  if (nowMs - state.returnedMs > settings.forgetMs) state.ejectionCount = 0;
  const plainMs = settings.baseMs * 2 ** state.ejectionCount;
  const jitter = 1 + JITTER_SHARE * (2 * random() - 1);
  state.ejectionCount += 1;
  state.ejectedUntilMs = nowMs + Math.min(settings.maxMs, plainMs) * jitter;
  state.returnedMs = state.ejectedUntilMs;
  state.consecutiveFailures = 0;
  // One more failed connection after the return takes it out again.
  state.consecutiveUnreachable = isUnreachable
    ? settings.consecutiveUnreachable - 1
    : 0;
  state.paceCount = 0;
  state.paceMs = 0;
  return true;
}

function isFailing(
  state: ServerState,
  pools: readonly VersionPool[],
  settings: EjectionSettings,
  nowMs: number,
): boolean {
  if (state.consecutiveFailures >= settings.consecutiveFailures) return true;
  const isReturned = state.ejectionCount > 0;
  const minCount = isReturned ? RETURNED_PACE_COUNT : settings.minPaceCount;
  if (state.paceCount < minCount) return false;
  return pools.some(pool => {
    const {medianPaceMs} = pool.readStatistics(nowMs);
    const limit = settings.paceFactor * medianPaceMs;
    return medianPaceMs > 0 && state.paceMs > limit;
  });
}

function canSpareOne(
  pool: VersionPool,
  settings: EjectionSettings,
  nowMs: number,
): boolean {
  const size = pool.states.length;
  const available = pool.states.filter(state => isAvailable(state, nowMs));
  const out = size - available.length + 1;
  return available.length > 1 && out <= size * settings.maxEjectedShare;
}
