import {
  estimateOccupiedShare,
  RouterError,
  type ForwardOrganisation,
  type ForwardRoute,
  type WaitEnd,
} from '@anvilrudder/core';
import type {GatewayContext} from '../gateway_context.js';
import type {SendTarget} from './choose_target.js';
import {isUnproven} from './observe_response.js';
import type {OpenExchange} from './open_exchange.js';

/** Organisation of requests without one. */
const NO_ORGANISATION = '-';
/** Part of the expected decode time that an answer takes at least. */
const MIN_DECODE_SHARE = 0.5;

/**
 * Rejects the first send of a request if the load leaves no capacity for it.
 * Requests that have, or may have, run are never rejected here, nor those that
 * another host has admitted and relayed.
 *
 * @throws RouterError `overloaded`, with the time at which capacity is expected.
 * @example
 * ```ts
 * scheduleSend(context, exchange, target); // does nothing without scarcity
 * ```
 */
export function scheduleSend(
  context: GatewayContext,
  exchange: OpenExchange,
  target: SendTarget,
): void {
  const {loadAdmissions, servers, hosts, decodeEstimator} = context;
  const {request, route, organisation, arrivedMs} = exchange.admitted;
  const {generation} = request;
  const {forecastMs, service, record, workMs, modelName} = target;
  if (loadAdmissions === undefined || forecastMs === undefined) return;
  if (generation === undefined || isExempt(exchange)) return;
  const nowMs = performance.now();
  const decodeMs = decodeEstimator.estimateMs(
    modelName,
    generation.maxOutputTokens,
  );
  const {rejection, retryAfterMs, isScarce} = loadAdmissions.decide(
    {
      request: request.id,
      service: service.name,
      stateAgeMs: nowMs - record.remoteUpdatedMs,
    },
    {
      organisation: organisation?.name ?? NO_ORGANISATION,
      kind: route.name,
      priority: resolvePriority(route, organisation),
      workMs,
      rawMs: forecastMs,
      costMs: workMs + decodeMs / record.server.slots,
      delayMs: target.limitDelayMs,
      targetLeftMs: route.latencyTargetMs - (nowMs - arrivedMs),
      remainingMs: exchange.remainingMs,
      restMs: MIN_DECODE_SHARE * decodeMs,
      occupiedShare: estimateOccupiedShare(
        servers.list(service.name),
        hosts.count,
        nowMs,
      ),
    },
    nowMs,
  );
  exchange.isCapacityScarce = isScarce;
  if (rejection === undefined) return;
  throw RouterError.create('The servers have no capacity for the request.', {
    code: 'overloaded',
    retryAfterMs,
  });
}

function isExempt({admitted, isTrial, mayHaveRun}: OpenExchange): boolean {
  const isResumption = admitted.request.lastEventId !== undefined;
  return admitted.isRelayed || isResumption || isTrial || mayHaveRun;
}

/**
 * Records that a request of any kind of send waits for its first event.
 *
 * @returns to be called when the wait ends; only the first call counts.
 */
export function beginFirstEventWait(
  context: GatewayContext,
  exchange: OpenExchange,
  target: SendTarget,
): (end: WaitEnd) => void {
  const {loadAdmissions} = context;
  const {forecastMs, workMs, service, record} = target;
  if (loadAdmissions === undefined || forecastMs === undefined) return ignore;
  // A version on trial may be slow whatever the load.
  if (isUnproven(context, target)) return ignore;
  const {route, organisation} = exchange.admitted;
  const sentMs = performance.now();
  return loadAdmissions.beginWait(
    service.name,
    {
      priority: resolvePriority(route, organisation),
      workMs,
      rawMs: forecastMs,
      sentMs,
      isScarce: exchange.isCapacityScarce,
    },
    sentMs - record.remoteUpdatedMs,
  );
}

function ignore(): void {}

/** Returns the priority of a request; 0 is the highest. */
export function resolvePriority(
  route: ForwardRoute,
  organisation: ForwardOrganisation | undefined,
): number {
  return organisation?.priority ?? route.priority;
}
