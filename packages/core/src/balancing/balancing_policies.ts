import {clamp} from '../utils/math.js';
import type {Random} from '../utils/random.js';
import {isAvailable, readLoad, type ServerState} from './server_state.js';
import type {VersionPool} from './version_pool.js';

/** Input of a server policy. */
export interface ServerPickContext {
  readonly pool: VersionPool;
  readonly failureDomain: string;
  /** Load added to servers in other failure domains. */
  readonly crossDomainPenalty: number;
  /** Maximum load of a preferred server, relative to the mean of the pool. */
  readonly loadBound: number;
  /** Number of live entries, this one included. */
  readonly entryCount: number;
  /** Start of the prompt, or another key for cache affinity. */
  readonly prefixKey: string | undefined;
  /** Ids of servers to which the request was already sent. */
  readonly excluded: ReadonlySet<string>;
  readonly nowMs: number;
  readonly random: Random;
}

/** Picks an available server; undefined when there is none. */
export type ServerPolicy = (
  context: ServerPickContext,
) => ServerState | undefined;

const SAMPLE_ATTEMPTS = 12;
const OWN_LOAD_WEIGHT = 0.5;
const PREFERRED_SERVER_COUNT = 3;
const SAMPLED_SERVER_COUNT = 2;
const MAX_SLOWNESS = 6;
const MIN_AFFINITY_LOAD_LIMIT = 0.6;
const MIN_LATENCY_SAMPLE_COUNT = 5;

function isUsable(context: ServerPickContext, state: ServerState): boolean {
  return (
    isAvailable(state, context.nowMs) && !context.excluded.has(state.server.id)
  );
}

function pickRandom(context: ServerPickContext): ServerState | undefined {
  const {states} = context.pool;
  for (let attempt = 0; attempt < SAMPLE_ATTEMPTS; attempt++) {
    const state = states[Math.floor(context.random() * states.length)];
    if (state !== undefined && isUsable(context, state)) return state;
  }
  const usable = states.filter(state => isUsable(context, state));
  return usable[Math.floor(context.random() * usable.length)];
}

// The entry's own requests are known immediately but are only a part of the
// load; reports cover the whole load, but with a delay.
function combineLoads(ownLoad: number, reportedLoad: number): number {
  return OWN_LOAD_WEIGHT * ownLoad + (1 - OWN_LOAD_WEIGHT) * reportedLoad;
}

/** Computes the load of a server, raised when its token latency is high. */
function scoreLoad(context: ServerPickContext, state: ServerState): number {
  const {pool, nowMs} = context;
  const {medianTokenLatencyMs} = pool.readStatistics(nowMs);
  const isMeasured =
    state.latencySampleCount >= MIN_LATENCY_SAMPLE_COUNT &&
    medianTokenLatencyMs > 0;
  const slowness = isMeasured
    ? clamp(state.tokenLatencyMs / medianTokenLatencyMs, 1, MAX_SLOWNESS)
    : 1;
  const ownLoad = ((state.inFlight + 1) * context.entryCount) / state.slots;
  return combineLoads(ownLoad, readLoad(state, nowMs)) * slowness;
}

function scoreServer(context: ServerPickContext, state: ServerState): number {
  const {failureDomain, crossDomainPenalty} = context;
  const isCrossDomain = state.server.failureDomain !== failureDomain;
  return scoreLoad(context, state) + (isCrossDomain ? crossDomainPenalty : 0);
}

function pickBestOfSample(
  context: ServerPickContext,
  count: number,
  score: (state: ServerState) => number,
): ServerState | undefined {
  let best: ServerState | undefined;
  let bestScore = Infinity;
  for (let sample = 0; sample < count; sample++) {
    const state = pickRandom(context);
    if (state === undefined) return best;
    const value = score(state);
    if (value >= bestScore) continue;
    best = state;
    bestScore = value;
  }
  return best;
}

function pickLeastLoaded(context: ServerPickContext): ServerState | undefined {
  let best: ServerState | undefined;
  let bestLoad = Infinity;
  for (const state of context.pool.states) {
    if (!isUsable(context, state)) continue;
    const load = readLoad(state, context.nowMs);
    if (load >= bestLoad) continue;
    best = state;
    bestLoad = load;
  }
  return best;
}

function pickPreferred(context: ServerPickContext): ServerState | undefined {
  if (context.prefixKey === undefined) return undefined;
  const preferred = context.pool.listPreferredServers(
    context.prefixKey,
    PREFERRED_SERVER_COUNT,
  );
  return preferred.find(state => isUsable(context, state));
}

// Limits this entry's own requests at a preferred server to the entry's share
// of its slots, so that entries with the same preferred server cannot overload
// it together, even when its load reports are late.
function canTakePrefixRequest(
  context: ServerPickContext,
  state: ServerState,
): boolean {
  const {pool, nowMs, loadBound, entryCount, random} = context;
  const {meanLoad} = pool.readStatistics(nowMs);
  const limit = Math.max(MIN_AFFINITY_LOAD_LIMIT, meanLoad * loadBound);
  if (scoreLoad(context, state) > limit) return false;
  const ownShare = (state.slots * Math.min(1, limit)) / entryCount;
  return state.inFlight + 1 <= Math.max(1, Math.floor(ownShare + random()));
}

function pickPreferredWithinBound(
  context: ServerPickContext,
): ServerState | undefined {
  const {pool, prefixKey} = context;
  const candidates =
    prefixKey === undefined
      ? []
      : pool.listPreferredServers(prefixKey, PREFERRED_SERVER_COUNT);
  const preferred = candidates.find(
    state => isUsable(context, state) && canTakePrefixRequest(context, state),
  );
  if (preferred !== undefined) return preferred;
  return pickBestOfSample(context, SAMPLED_SERVER_COUNT, state =>
    scoreServer(context, state),
  );
}

/** Server policies, by the name that the settings use. */
export const SERVER_POLICIES = {
  random: pickRandom,
  'power-of-two': context =>
    pickBestOfSample(context, 2, state => readLoad(state, context.nowMs)),
  'least-loaded': pickLeastLoaded,
  'prefix-only': context => pickPreferred(context) ?? pickRandom(context),
  'prefix-bounded': pickPreferredWithinBound,
} as const satisfies Record<string, ServerPolicy>;

export type ServerPolicyName = keyof typeof SERVER_POLICIES;
