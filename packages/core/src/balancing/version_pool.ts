import {hashToUint32} from '../utils/hash.js';
import {computeQuantile} from '../utils/math.js';
import {isAvailable, readLoad, type ServerState} from './server_state.js';

const POINTS_PER_SERVER = 16;
const STATISTICS_MAX_AGE_MS = 100;

interface RingPoint {
  readonly hash: number;
  readonly state: ServerState;
}

/** Load and pace over a pool, taken at most every 100 ms. */
export interface PoolStatistics {
  readonly takenMs: number;
  readonly availableCount: number;
  readonly meanLoad: number;
  readonly medianPaceMs: number;
}

/** The servers of one model version and their hash ring. */
export class VersionPool {
  private readonly ring: readonly RingPoint[];
  private statistics: PoolStatistics | undefined;

  private constructor(readonly states: readonly ServerState[]) {
    this.ring = states.flatMap(resolvePoints).sort((a, b) => a.hash - b.hash);
  }

  static create(states: readonly ServerState[]): VersionPool {
    return new VersionPool(states);
  }

  /** True when the pool is made of just these servers. */
  hasMembers(states: readonly ServerState[]): boolean {
    return (
      states.length === this.states.length &&
      states.every((state, index) => state === this.states[index])
    );
  }

  /** Finds the first distinct servers after the hash of a key. */
  findHomes(key: string, count: number): readonly ServerState[] {
    const homes: ServerState[] = [];
    let index = this.findPoint(hashToUint32(key));
    for (let step = 0; step < this.ring.length; step++) {
      const {state} = this.ring[index];
      if (!homes.includes(state)) homes.push(state);
      if (homes.length >= count) break;
      index = (index + 1) % this.ring.length;
    }
    return homes;
  }

  /** Reads the statistics, at most 100 ms old. */
  readStatistics(nowMs: number): PoolStatistics {
    const known = this.statistics;
    const isFresh =
      known !== undefined && nowMs - known.takenMs < STATISTICS_MAX_AGE_MS;
    if (isFresh) return known;
    this.statistics = computeStatistics(this.states, nowMs);
    return this.statistics;
  }

  private findPoint(hash: number): number {
    let low = 0;
    let high = this.ring.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.ring[middle].hash < hash) low = middle + 1;
      else high = middle;
    }
    return low === this.ring.length ? 0 : low;
  }
}

const pointsByState = new WeakMap<ServerState, readonly RingPoint[]>();

function resolvePoints(state: ServerState): readonly RingPoint[] {
  const known = pointsByState.get(state);
  if (known !== undefined) return known;
  const points = createPoints(state);
  pointsByState.set(state, points);
  return points;
}

function createPoints(state: ServerState): readonly RingPoint[] {
  return Array.from({length: POINTS_PER_SERVER}, (_, index) => ({
    hash: hashToUint32(`${state.server.id}#${index}`),
    state,
  }));
}

function computeStatistics(
  states: readonly ServerState[],
  nowMs: number,
): PoolStatistics {
  const available = states.filter(state => isAvailable(state, nowMs));
  const totalLoad = available.reduce(
    (sum, state) => sum + readLoad(state, nowMs),
    0,
  );
  const paces = states
    .filter(({paceCount}) => paceCount > 0)
    .map(({paceMs}) => paceMs)
    .sort((a, b) => a - b);
  return {
    takenMs: nowMs,
    availableCount: available.length,
    meanLoad: totalLoad / Math.max(1, available.length),
    medianPaceMs: computeQuantile(paces, 0.5),
  };
}
