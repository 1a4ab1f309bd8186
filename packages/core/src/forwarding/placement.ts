import {hashToUint32} from '../utils/hash.js';
import type {Random} from '../utils/random.js';
import type {GenerationDemand, PromptPart} from './exchange_types.js';
import {isEjected, readFailureShare} from './server_health.js';
import {
  readRemoteRunning,
  estimateBacklogMs,
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
  readonly crossDomainCostMs: number;
  readonly generation: GenerationPlacement | undefined;
  readonly nowMs: number;
  readonly random: Random;
}

/** What placing a generation takes into account. */
export interface GenerationPlacement {
  readonly model: string;
  readonly demand: GenerationDemand;
  /** Time in which a server reads a token with the model. */
  readonly prefillMsPerToken: number;
}

/** The chosen server and what the request costs it. */
export interface PlacementChoice {
  readonly record: ServerRecord;
  /** Tokens of the prompt that the server probably has to read. */
  readonly uncachedTokens: number;
  readonly workMs: number;
}

/** Time that one more running request takes from the others of a server. */
const RUNNING_COST_MS = 4;
/** Slots of the server that this cost is stated for. */
const REFERENCE_SLOTS = 64;
/** Another host may be sending a shared part to its home just now. */
const HOME_KNOWN_SHARE = 0.5;
/** Cost of a certain failure, in time that the request then lost. */
const FAILURE_COST_MS = 2000;
const PLAIN_REQUEST_MS = 20;

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
  const knownTokens = usable.map(record => countKnown(request, record));
  // Where a shared part was read is known; its home counts before that only.
  const isRead = knownTokens.some(tokens => tokens > 0);
  const home = isRead ? undefined : findHome(request, usable);
  let best: PlacementChoice | undefined;
  let bestCost = Infinity;
  usable.forEach((record, index) => {
    const isHome = record === home;
    const uncachedTokens = countUnread(request, knownTokens[index], isHome);
    const workMs = computeWorkMs(request, uncachedTokens);
    const cost = computeCost(request, record, workMs);
    if (cost >= bestCost) return;
    bestCost = cost;
    best = {record, uncachedTokens: uncachedTokens, workMs};
  });
  return best;
}

// An ejected server is better than none.
function listUsable(request: PlacementRequest): readonly ServerRecord[] {
  const {candidates, nowMs} = request;
  const sound = candidates.filter(({health}) => !isEjected(health, nowMs));
  return sound.length > 0 ? sound : candidates;
}

/** The server that all hosts prefer for a shared prefix. */
function findHome(
  {generation}: PlacementRequest,
  usable: readonly ServerRecord[],
): ServerRecord | undefined {
  const shared = generation && findSharedPart(generation.demand.parts);
  if (generation === undefined || shared === undefined) return undefined;
  const key = `${generation.model}/${shared.id}`;
  let home: ServerRecord | undefined;
  let homeRank = -1;
  for (const record of usable) {
    const rank = hashToUint32(`${key}/${record.server.id}`);
    if (rank <= homeRank) continue;
    home = record;
    homeRank = rank;
  }
  return home;
}

/** The last part that other requests may share. */
export function findSharedPart(
  parts: readonly PromptPart[],
): PromptPart | undefined {
  return parts.at(-2) ?? parts.at(-1);
}

function countKnown(
  {generation}: PlacementRequest,
  {prefixCache: parts}: ServerRecord,
): number {
  if (generation === undefined) return 0;
  return parts.countKnownTokens(generation.model, generation.demand.parts);
}

function countUnread(
  {generation}: PlacementRequest,
  knownTokens: number,
  isHome: boolean,
): number {
  if (generation === undefined) return 0;
  const {demand} = generation;
  const unread = Math.max(0, demand.promptTokens - knownTokens);
  if (!isHome) return unread;
  const own = demand.parts.at(-1)?.tokens ?? 0;
  return unread - Math.max(0, unread - own) * HOME_KNOWN_SHARE;
}

function computeWorkMs(
  {generation}: PlacementRequest,
  uncachedTokens: number,
): number {
  if (generation === undefined) return PLAIN_REQUEST_MS;
  return uncachedTokens * generation.prefillMsPerToken;
}

function computeCost(
  request: PlacementRequest,
  record: ServerRecord,
  workMs: number,
): number {
  const {
    failureDomain,
    crossDomainCostMs: crossDomainCostMs,
    nowMs,
    random,
  } = request;
  const {server, health} = record;
  const waiting = estimateBacklogMs(record, nowMs);
  const runningCount = countRunning(request, record);
  const running =
    (runningCount * RUNNING_COST_MS * REFERENCE_SLOTS) / server.slots;
  const crossing =
    server.failureDomain === failureDomain ? 0 : crossDomainCostMs;
  const failing = readFailureShare(health, nowMs) * FAILURE_COST_MS;
  return waiting + running + workMs + crossing + failing + random();
}

// Hosts tell each other of generations. Of plain requests each host knows its
// own, and takes the others to be as many.
function countRunning(
  {generation, hostCount, nowMs}: PlacementRequest,
  record: ServerRecord,
): number {
  if (generation === undefined) return record.inFlight * hostCount;
  return record.inFlight + readRemoteRunning(record, nowMs);
}
