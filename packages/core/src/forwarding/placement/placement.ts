import {hashToUint32, mixHashes} from '../../utils/hash.js';
import type {Random} from '../../utils/random.js';
import type {GenerationDemand, PromptPart} from '../exchange_types.js';
import {createCacheKeys} from '../servers/prefix_cache_estimate.js';
import {isEjected, computeFailureRate} from '../servers/server_health.js';
import {computeRateDelayMs} from '../servers/server_availability.js';
import {
  estimateBacklogMs,
  estimateRemoteRunning,
} from '../servers/server_load.js';
import {estimatePace, type ServerRecord} from '../servers/server_record.js';

/** Input for choosing a server for a request. */
export interface PlacementRequest {
  /**
   * Servers that may run the request and have not been tried, ejected ones
   * included.
   */
  readonly candidates: readonly ServerRecord[];
  readonly failureDomain: string;
  /** Number of hosts that send to the same servers, this one included. */
  readonly hostCount: number;
  /** Time that a server in another failure domain must save to be chosen. */
  readonly crossDomainCostMs: number;
  /**
   * Servers chosen at random to be compared, besides some of those that have
   * cached most of the prompt. All servers are compared if undefined or 0.
   */
  readonly sampledServerCount?: number;
  readonly generation: GenerationPlacement | undefined;
  readonly nowMs: number;
  readonly random: Random;
}

/** Properties of a generation that affect its placement. */
export interface GenerationPlacement {
  readonly model: string;
  readonly demand: GenerationDemand;
  /** Prefill time per prompt token of the model. */
  readonly prefillMsPerToken: number;
}

/** The chosen server and the work that the request causes there. */
export interface PlacementChoice {
  readonly record: ServerRecord;
  /** Estimated prompt tokens that are not in the server's KV cache. */
  readonly uncachedTokens: number;
  /** Time that the server needs for the prefill, or for a plain request. */
  readonly workMs: number;
  /** Pace of the server by which that time was estimated; 1 for the mean one. */
  readonly pace: number;
}

/** Delay added per request running at a server of REFERENCE_SLOTS slots. */
const RUNNING_COST_MS = 4;
const REFERENCE_SLOTS = 64;
/**
 * Assumed cached share of an unknown prefix at its preferred server, as another
 * host may be sending that prefix there at the same time.
 */
const PREFERRED_CACHED_SHARE = 0.5;
/** Compared servers among those that have cached most of the prompt. */
const MAX_COMPARED_CACHED = 2;
/** Time lost by a failed attempt; weighted with the failure rate. */
const FAILURE_COST_MS = 2000;
const PLAIN_REQUEST_WORK_MS = 20;

/**
 * Chooses the server with the least expected delay, which sums up its prefill
 * backlog, the prefill of the uncached prompt tokens, its running requests, the
 * cost of another failure domain and its failure rate. Hosts notify each other
 * of the parts that they send to servers. For a shared prefix that is cached
 * nowhere, all hosts prefer the same server, by rendezvous hashing. As the load
 * of a server grows, requests move to others, so that a hot prefix spreads over
 * several servers.
 *
 * What a host knows of the sends of others is some hundred milliseconds old. If
 * all hosts compared all servers, they would all send to the one that was idle
 * then. With `sampledServerCount` each request compares a few servers only.
 *
 * @returns undefined when no candidate may take the request.
 * @example
 * ```ts
 * const choice = chooseServer({candidates: table.list('engine'), ...request});
 * ```
 */
export function chooseServer(
  request: PlacementRequest,
): PlacementChoice | undefined {
  const usable = listUsable(request);
  if (usable.length === 0) return undefined;
  const cached = countCached(request, usable);
  // The preferred server matters only while the prefix is cached nowhere.
  const preferred =
    cached.mostTokens > 0 ? undefined : findPreferredServer(request, usable);
  const compared = listCompared(request, usable, cached, preferred);
  let best: PlacementChoice | undefined;
  let bestCost = Infinity;
  for (const index of compared) {
    const record = usable[index];
    const waitMs = computeWaitMs(request, record);
    if (waitMs >= bestCost) continue;
    const uncachedTokens = countUncachedTokens(
      request,
      cached.tokens[index],
      record === preferred,
    );
    const pace = estimatePace(record, request.nowMs);
    const workMs = computeWorkMs(request, uncachedTokens) * pace;
    const cost = waitMs + computeRunCost(request, record, workMs, pace);
    if (cost >= bestCost) continue;
    bestCost = cost;
    best = {record, uncachedTokens, workMs, pace};
  }
  return best;
}

// Ejected servers are used only when all candidates are ejected.
function listUsable(request: PlacementRequest): readonly ServerRecord[] {
  const {candidates, nowMs} = request;
  if (!candidates.some(({health}) => isEjected(health, nowMs)))
    return candidates;
  const healthy = candidates.filter(({health}) => !isEjected(health, nowMs));
  return healthy.length > 0 ? healthy : candidates;
}

/** Cached tokens of a prompt at the servers that may be used. */
interface CachedTokens {
  readonly tokens: readonly number[];
  readonly mostTokens: number;
}

function countCached(
  {generation}: PlacementRequest,
  usable: readonly ServerRecord[],
): CachedTokens {
  if (generation === undefined)
    return {tokens: usable.map(() => 0), mostTokens: 0};
  const keys = createCacheKeys(generation.model, generation.demand.parts);
  let mostTokens = 0;
  const tokens = usable.map(({prefixCache}) => {
    const cachedTokens = prefixCache.countTokens(keys);
    if (cachedTokens > mostTokens) mostTokens = cachedTokens;
    return cachedTokens;
  });
  return {tokens, mostTokens};
}

/** Returns the indices of the servers whose costs are compared. */
function listCompared(
  request: PlacementRequest,
  usable: readonly ServerRecord[],
  {tokens, mostTokens}: CachedTokens,
  preferred: ServerRecord | undefined,
): Iterable<number> {
  const {sampledServerCount = 0, failureDomain, random} = request;
  if (sampledServerCount <= 0 || usable.length <= sampledServerCount)
    return usable.keys();
  const mostCached: number[] = [];
  const near: number[] = [];
  const far: number[] = [];
  usable.forEach((record, index) => {
    const isNear = record.server.failureDomain === failureDomain;
    (isNear ? near : far).push(index);
    const isCached = mostTokens > 0 && tokens[index] === mostTokens;
    if (isCached || record === preferred) mostCached.push(index);
  });
  // Servers in both parts of the fleet, so that requests can leave a busy domain.
  const farCount = Math.floor(sampledServerCount / 2);
  const nearCount = sampledServerCount - farCount;
  const compared = new Set<number>();
  sample(mostCached, MAX_COMPARED_CACHED, random, compared);
  sample(
    near,
    far.length > 0 ? nearCount : sampledServerCount,
    random,
    compared,
  );
  sample(
    far,
    near.length > 0 ? farCount : sampledServerCount,
    random,
    compared,
  );
  return compared;
}

/** Adds up to some random elements of a list to a set. */
function sample(
  list: readonly number[],
  count: number,
  random: Random,
  into: Set<number>,
): void {
  if (list.length === 0) return;
  for (let taken = 0; taken < count; taken += 1)
    into.add(list[Math.floor(random() * list.length)]);
}

/** Finds the server that all hosts prefer for a shared prefix. */
function findPreferredServer(
  {generation}: PlacementRequest,
  usable: readonly ServerRecord[],
): ServerRecord | undefined {
  const shared = generation && findSharedPart(generation.demand.parts);
  if (generation === undefined || shared === undefined) return undefined;
  const keyHash = hashToUint32(`${generation.model}/${shared.id}`);
  let preferred: ServerRecord | undefined;
  let highestRank = -1;
  for (const record of usable) {
    const rank = mixHashes(keyHash, record.idHash);
    if (rank <= highestRank) continue;
    preferred = record;
    highestRank = rank;
  }
  return preferred;
}

/** Finds the last part of a prompt that other requests may share. */
export function findSharedPart(
  parts: readonly PromptPart[],
): PromptPart | undefined {
  return parts.at(-2) ?? parts.at(-1);
}

function countUncachedTokens(
  {generation}: PlacementRequest,
  cachedTokens: number,
  isPreferred: boolean,
): number {
  if (generation === undefined) return 0;
  const {demand} = generation;
  const uncached = Math.max(0, demand.promptTokens - cachedTokens);
  if (!isPreferred) return uncached;
  const unshared = demand.parts.at(-1)?.tokens ?? 0;
  return uncached - Math.max(0, uncached - unshared) * PREFERRED_CACHED_SHARE;
}

function computeWorkMs(
  {generation}: PlacementRequest,
  uncachedTokens: number,
): number {
  if (generation === undefined) return PLAIN_REQUEST_WORK_MS;
  return uncachedTokens * generation.prefillMsPerToken;
}

/** Delay before the prefill of the request, and of another failure domain. */
function computeWaitMs(
  {failureDomain, crossDomainCostMs, nowMs}: PlacementRequest,
  record: ServerRecord,
): number {
  const {server, availability} = record;
  const crossingMs =
    server.failureDomain === failureDomain ? 0 : crossDomainCostMs;
  return (
    estimateBacklogMs(record, nowMs) +
    computeRateDelayMs(availability, nowMs) +
    crossingMs
  );
}

function computeRunCost(
  request: PlacementRequest,
  record: ServerRecord,
  workMs: number,
  pace: number,
): number {
  const {nowMs, random} = request;
  const {server, health} = record;
  const runningCount = estimateRunning(request, record);
  const running =
    (pace * runningCount * RUNNING_COST_MS * REFERENCE_SLOTS) / server.slots;
  const failing = computeFailureRate(health, nowMs) * FAILURE_COST_MS;
  return running + workMs + failing + random();
}

// Hosts notify each other of generations, but not of plain requests. For those,
// each host assumes that every other host has as many in flight as itself.
function estimateRunning(
  {generation, hostCount, nowMs}: PlacementRequest,
  record: ServerRecord,
): number {
  if (generation === undefined) return record.inFlight * hostCount;
  return record.inFlight + estimateRemoteRunning(record, nowMs);
}
