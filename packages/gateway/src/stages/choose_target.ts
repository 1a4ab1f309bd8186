import {
  chooseServer,
  computePauseLeftMs,
  computeSlowStartDelayMs,
  computeSendDelayMs,
  hashToUnitInterval,
  isEjected,
  isPaused,
  pickDestination,
  estimateBacklogMs,
  type ForwardRoute,
  type ForwardService,
  type PlacementChoice,
  type ServerRecord,
} from '@anvilrudder/core';
import type {GatewayContext} from '../gateway_context.js';
import type {
  VersionBasis,
  VersionSelection,
} from '../control/rollouts/version_selector.js';
import type {RegionCheck} from '../control/servers/home_regions.js';
import type {OpenExchange, ServerExclusion} from './open_exchange.js';

/** The backend server and model for the next send of an exchange. */
export interface SendTarget extends PlacementChoice {
  readonly service: ForwardService;
  /** Model that the router requests from the server. */
  readonly model: string | undefined;
  /** Model named by the router or the caller; empty if there is none. */
  readonly modelName: string;
  /** Forecast of the time to the first event, before correction. */
  readonly forecastMs: number | undefined;
  /** Wait until the limit of the server allows the send. */
  readonly limitDelayMs: number;
  /** Why its version was chosen; undefined if only one runs. */
  readonly versionBasis: VersionBasis | undefined;
}

/**
 * Longest wait for a server with a limit; a request that would wait longer is
 * rejected with the time after which it may come back.
 */
const MAX_LIMIT_DELAY_MS = 2000;
/**
 * Longest wait for a cold server, which uses the tokens of its rate although
 * requests come at random times; a request that would wait longer is rejected.
 */
const MAX_COLD_DELAY_MS = 250;
/** Share of the remaining time that the wait may take. */
const MAX_LIMIT_DELAY_SHARE = 0.25;

/**
 * Time after which a request is worth repeating whose servers are all evacuated,
 * or in regions that it must not go to. The end of an evacuation is not known
 * before; callers that repeat more often only add load.
 */
const EXCLUDED_RETRY_MS = 1000;

/** Minimum time that a server in another failure domain must save. */
const CROSSING_COST_MS = 8;

/**
 * Chooses the backend server for the next send, using the newest configuration.
 * The version is chosen among all servers that are not leaving, so that a pause
 * of one version's servers does not move requests to another version.
 *
 * @returns undefined if no server is eligible.
 * @example
 * ```ts
 * const target = chooseTarget(context, exchange, 'small');
 * ```
 */
export function chooseTarget(
  context: GatewayContext,
  exchange: OpenExchange,
  model: string | undefined,
): SendTarget | undefined {
  const {request} = exchange.admitted;
  const service = findService(context, exchange);
  exchange.excludedBy = undefined;
  if (service === undefined || !maySend(context)) return undefined;
  const {records, basis} = selectVersion(context, exchange, service);
  const {generation} = request;
  const modelName = model ?? generation?.model ?? '';
  const nowMs = performance.now();
  const maxDelayMs = Math.min(
    MAX_LIMIT_DELAY_MS,
    exchange.remainingMs * MAX_LIMIT_DELAY_SHARE,
  );
  const choice = chooseServer({
    candidates: records.filter(record =>
      mayReceiveSoon(context, record, maxDelayMs, nowMs),
    ),
    failureDomain: context.settings.failureDomain,
    hostCount: context.hosts.count,
    crossDomainCostMs: CROSSING_COST_MS,
    sampledServerCount: context.settings.scheduling.sampledServers,
    generation: generation && {
      model: modelName,
      demand: generation,
      prefillMsPerToken: context.prefillEstimator.estimateMsPerToken(modelName),
    },
    nowMs,
    random: context.random,
  });
  if (choice === undefined) return undefined;
  const forecastMs = generation && forecastFirstEventMs(choice, nowMs);
  return {
    ...choice,
    service,
    model,
    modelName,
    forecastMs,
    limitDelayMs: computeSendDelayMs(choice.record.availability, nowMs),
    versionBasis: basis,
  };
}

/**
 * Selects the servers of the version that the request may go to, and records why
 * there are none.
 */
function selectVersion(
  context: GatewayContext,
  exchange: OpenExchange,
  service: ForwardService,
): Pick<VersionSelection, 'records' | 'basis'> {
  const staying = context.servers
    .list(service.name)
    .filter(({availability}) => !availability.isLeaving);
  const isInRegion = createRegionCheck(context, exchange);
  const eligible = staying.filter(
    ({server}) =>
      !exchange.triedServerIds.has(server.id) &&
      isInRegion?.(server.failureDomain) !== false,
  );
  const {records, basis, lostBefore} = context.versions.select(
    service.name,
    eligible,
    {
      session: exchange.admitted.request.session,
      stickyKey: readStickyKey(exchange),
      previousVersion: exchange.softwareVersion,
    },
    {
      mayReceive: record => !isEvacuated(context, record),
      isPart: eligible.length < staying.length,
    },
  );
  // No host lists servers of the version in the regions of the request.
  exchange.lostBeforeVersion = isInRegion ? undefined : lostBefore;
  if (records.length === 0)
    exchange.excludedBy = findExclusion(context, eligible, isInRegion);
  return {records, basis};
}

/** True if a server may receive a request after a wait that is short enough. */
function mayReceiveSoon(
  {brittleServers}: GatewayContext,
  record: ServerRecord,
  maxDelayMs: number,
  nowMs: number,
): boolean {
  const {availability} = record;
  return (
    !isPaused(availability, nowMs) &&
    computeSendDelayMs(availability, nowMs) <= maxDelayMs &&
    computeSlowStartDelayMs(availability.slowStart, nowMs) <=
      MAX_COLD_DELAY_MS &&
    brittleServers.hasCapacity(record)
  );
}

/** Chooses the model of the first send; undefined without generation. */
export function chooseInitialModel({
  admitted,
}: OpenExchange): string | undefined {
  const {request, route} = admitted;
  if (request.generation === undefined) return undefined;
  return request.generation.model ?? route.models[0];
}

/**
 * Computes the time until a server of the exchange's service accepts requests
 * again; 0 unless all of them have asked for a pause.
 */
export function computeServicePauseMs(
  context: GatewayContext,
  exchange: OpenExchange,
): number {
  const service = findService(context, exchange);
  if (service === undefined) return 0;
  if (exchange.excludedBy !== undefined) return EXCLUDED_RETRY_MS;
  const isInRegion = createRegionCheck(context, exchange);
  const records = context.servers
    .list(service.name)
    .filter(
      record =>
        !isEvacuated(context, record) &&
        isInRegion?.(record.server.failureDomain) !== false,
    );
  return computePauseLeftMs(
    records.map(({availability}) => availability),
    performance.now(),
  );
}

/** True if a server of the exchange's service is left should one crash. */
export function hasSpareServer(
  context: GatewayContext,
  exchange: OpenExchange,
): boolean {
  const service = findService(context, exchange);
  if (service === undefined) return false;
  const nowMs = performance.now();
  const isInRegion = createRegionCheck(context, exchange);
  const usable = context.servers
    .list(service.name)
    .filter(
      ({server, availability, health}) =>
        !availability.isLeaving &&
        !isEjected(health, nowMs) &&
        !context.servers.isEvacuated(server) &&
        isInRegion?.(server.failureDomain) !== false,
    );
  return usable.length > 1;
}

/** Returns a check of failure domains; undefined if the request may go to all. */
export function createRegionCheck(
  context: GatewayContext,
  exchange: OpenExchange,
): RegionCheck | undefined {
  const {homeRegions, routing} = context;
  if (homeRegions === undefined) return undefined;
  const {request, organisation} = exchange.admitted;
  const newest =
    request.apiKey === undefined
      ? undefined
      : routing.current?.findOrganisation(request.apiKey);
  const route = resolveRoute(context, exchange);
  return homeRegions.createCheck(route, newest ?? organisation);
}

function findExclusion(
  context: GatewayContext,
  eligible: readonly ServerRecord[],
  isInRegion: RegionCheck | undefined,
): ServerExclusion | undefined {
  if (eligible.some(record => isEvacuated(context, record)))
    return 'evacuation';
  return isInRegion === undefined ? undefined : 'region';
}

/** False while this host has to list the evacuations before it sends. */
function maySend({evacuations}: GatewayContext): boolean {
  return evacuations?.maySend() !== false;
}

function isEvacuated(
  {servers}: GatewayContext,
  {server}: ServerRecord,
): boolean {
  return servers.isEvacuated(server);
}

/** Finds the service that the newest configuration gives an exchange. */
export function findService(
  context: GatewayContext,
  exchange: OpenExchange,
): ForwardService | undefined {
  const route = resolveRoute(context, exchange);
  const name = pickDestination(
    route.destinations,
    hashToUnitInterval(readStickyKey(exchange)),
  );
  return name === undefined
    ? undefined
    : context.routing.current?.findService(name);
}

function forecastFirstEventMs(
  {record, workMs}: PlacementChoice,
  nowMs: number,
): number {
  return workMs + estimateBacklogMs(record, nowMs);
}

/** Requests with the same key go to the same destination of a split route. */
function readStickyKey({admitted}: OpenExchange): string {
  const {session, generation, id} = admitted.request;
  return session ?? generation?.parts.at(-1)?.id ?? id ?? '';
}

// Requests whose route has been removed since admission still use that route.
function resolveRoute(
  context: GatewayContext,
  {admitted}: OpenExchange,
): ForwardRoute {
  const {route, routingVersion, request} = admitted;
  const table = context.routing.current;
  if (table === undefined || table.version === routingVersion) return route;
  const path = request.path.split('?', 1)[0];
  return table.findRoute(request.hostName, path) ?? route;
}
