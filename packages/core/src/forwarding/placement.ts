import {hashToUint32} from '../utils/hash.js';
import type {Random} from '../utils/random.js';
import type {GenerationDemand, PromptPart} from './exchange_types.js';
import {isEjected, computeFailureRate} from './server_health.js';
import {
  estimateRemoteRunning,
  readWaitingMs,
  type ServerRecord,
} from './server_table.js';

/** What a server is chosen for. */
export interface PlacementRequest {
  /** Servers that may run the request and did not yet, ejected ones included. */
  readonly candidates: readonly ServerRecord[];
  readonly failureDomain: string;
  /** Hosts that send to the same servers, this one included. */
  readonly hostCount: number;
  /** Time that a crossing of failure domains must save. */
  readonly crossingCostMs: number;
  readonly generation: GenerationPlacement | undefined;
  readonly nowMs: number;
  readonly random: Random;
}

/** What placing a generation takes into account. */
export interface GenerationPlacement {
  readonly model: string;
  readonly demand: GenerationDemand;
  /** Time in which a server reads a token with the model. */
  readonly readMsPerToken: number;
}

/** The chosen server and what the request costs it. */
export interface PlacementChoice {
  readonly record: ServerRecord;
  /** Tokens of the prompt that the server probably has to read. */
  readonly unreadTokens: number;
  readonly workMs: number;
}

/** Time that one more running request takes from the others of a server. */
const RUNNING_COST_MS = 4;
/** Slots of the server that this cost is stated for. */
const REFERENCE_SLOTS = 64;
/** Another host may be sending a shared part to its home just now. */
const PREFERRED_CACHED_SHARE = 0.5;
/** Cost of a certain failure, in time that the request then lost. */
const FAILURE_COST_MS = 2000;
const PLAIN_REQUEST_WORK_MS = 20;

/**
 * Chooses the server with the least expected delay: the reading that waits
 * there, the part of the prompt that it has to read, and its failures. Hosts
 * tell each other what servers read, agree on the home of a shared prefix that
 * none has read by its hash, and leave a server as its load grows, so that a hot
 * prefix spreads over several servers.
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
  const cachedTokens = usable.map(record => countCachedTokens(request, record));
  // Where a shared part was read is known; its home counts before that only.
  const isCached = cachedTokens.some(tokens => tokens > 0);
  const preferred = isCached ? undefined : findPreferredServer(request, usable);
  let best: PlacementChoice | undefined;
  let bestCost = Infinity;
  usable.forEach((record, index) => {
    const isPreferred = record === preferred;
    const unreadTokens = countUncachedTokens(
      request,
      cachedTokens[index],
      isPreferred,
    );
    const workMs = computeWorkMs(request, unreadTokens);
    const cost = computeCost(request, record, workMs);
    if (cost >= bestCost) return;
    bestCost = cost;
    best = {record, unreadTokens, workMs};
  });
  return best;
}

// An ejected server is better than none.
function listUsable(request: PlacementRequest): readonly ServerRecord[] {
  const {candidates, nowMs} = request;
  const healthy = candidates.filter(({health}) => !isEjected(health, nowMs));
  return healthy.length > 0 ? healthy : candidates;
}

/** The server that all hosts prefer for a shared prefix. */
function findPreferredServer(
  {generation}: PlacementRequest,
  usable: readonly ServerRecord[],
): ServerRecord | undefined {
  const shared = generation && findSharedPart(generation.demand.parts);
  if (generation === undefined || shared === undefined) return undefined;
  const key = `${generation.model}/${shared.id}`;
  let preferred: ServerRecord | undefined;
  let highestRank = -1;
  for (const record of usable) {
    const rank = hashToUint32(`${key}/${record.server.id}`);
    if (rank <= highestRank) continue;
    preferred = record;
    highestRank = rank;
  }
  return preferred;
}

/** The last part that other requests may share. */
export function findSharedPart(
  parts: readonly PromptPart[],
): PromptPart | undefined {
  return parts.at(-2) ?? parts.at(-1);
}

function countCachedTokens(
  {generation}: PlacementRequest,
  {parts}: ServerRecord,
): number {
  if (generation === undefined) return 0;
  return parts.countKnownTokens(generation.model, generation.demand.parts);
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
  unreadTokens: number,
): number {
  if (generation === undefined) return PLAIN_REQUEST_WORK_MS;
  return unreadTokens * generation.readMsPerToken;
}

function computeCost(
  request: PlacementRequest,
  record: ServerRecord,
  workMs: number,
): number {
  const {failureDomain, crossingCostMs, nowMs, random} = request;
  const {server, health} = record;
  const waiting = readWaitingMs(record, nowMs);
  const runningCount = estimateRunning(request, record);
  const running =
    (runningCount * RUNNING_COST_MS * REFERENCE_SLOTS) / server.slots;
  const crossing = server.failureDomain === failureDomain ? 0 : crossingCostMs;
  const failing = computeFailureRate(health, nowMs) * FAILURE_COST_MS;
  return waiting + running + workMs + crossing + failing + random();
}

// Hosts tell each other of generations. Of plain requests each host knows its
// own, and takes the others to be as many.
function estimateRunning(
  {generation, hostCount, nowMs}: PlacementRequest,
  record: ServerRecord,
): number {
  if (generation === undefined) return record.inFlight * hostCount;
  return record.inFlight + estimateRemoteRunning(record, nowMs);
}
