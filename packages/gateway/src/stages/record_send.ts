import {
  MISDIRECTED_STATUS,
  type AttemptEnd,
  type InFlightSend,
  type RegisteredServer,
} from '@anvilrudder/core';
import type {GatewayContext} from '../gateway_context.js';
import type {ResponseHead} from '../ports.js';
import type {SendTarget} from './choose_target.js';
import {hashSession} from './hash_session.js';
import type {OpenExchange} from './open_exchange.js';

const UNAVAILABLE_STATUS = 503;

/** How a send ended, and the logarithm of its time over the expected time. */
export interface VersionAnswer {
  readonly end: AttemptEnd | undefined;
  readonly slowness: number | undefined;
}

/** Records that a request of a session begins or ends at a server. */
export function recordSession(
  {versions}: GatewayContext,
  {admitted}: OpenExchange,
  {service, softwareVersion}: RegisteredServer,
): void {
  const {session} = admitted.request;
  if (session === undefined) return;
  versions.recordSession({service, session, version: softwareVersion});
}

/** Logs the version of a send while several versions of its service run. */
export function logVersion(
  {logger}: GatewayContext,
  {admitted, attempts}: OpenExchange,
  {record, service, versionBasis}: SendTarget,
): void {
  if (versionBasis === undefined) return;
  const {id, session} = admitted.request;
  logger.info('version_chosen', {
    request: id,
    sessionHash: hashSession(session),
    service: service.name,
    version: record.server.softwareVersion,
    basis: versionBasis,
    attempt: attempts,
  });
}

/**
 * Logs how a send ended while several versions of its service run. Of one that
 * the time limit ends, the end is unknown and the time is a lower bound.
 */
export function logVersionAnswer(
  {logger}: GatewayContext,
  {admitted, versionBasis, stopped}: OpenExchange,
  {server, notBeforeMs}: InFlightSend,
  {end, slowness}: VersionAnswer,
): void {
  if (versionBasis === undefined) return;
  logger.info('version_answered', {
    request: admitted.request.id,
    route: admitted.route.name,
    version: server.softwareVersion,
    end: end ?? stopped ?? 'unknown',
    elapsedMs: Math.round(performance.now() - notBeforeMs),
    slowness: slowness?.toFixed(2),
  });
}

/**
 * Records that a server cut a request, so that it may have crashed on it. An
 * answer that has begun clears the parts of the prompt, but not the request.
 */
export function recordCut(
  {brittleServers, crashGuard}: GatewayContext,
  {suspectIds}: OpenExchange,
  {server}: InFlightSend,
  sentMs: number,
  hasBegun: boolean,
): void {
  // A brittle server ends by its load, whatever the request.
  if (brittleServers.isBrittle(server.service)) return;
  crashGuard.recordCrash(server, {
    suspectIds: hasBegun ? suspectIds.slice(0, 1) : suspectIds,
    sentMs,
    hasBegun,
  });
}

/** Records what a response says about further requests to its server. */
export function recordAvailability(
  {servers, serverLimits, brittleServers, logger}: GatewayContext,
  {server}: InFlightSend,
  status: number,
  head: ResponseHead,
  sentMs: number,
): void {
  // The response comes from another server at the same address.
  if (status === MISDIRECTED_STATUS) return;
  serverLimits.recordResponse(server, head.limit, sentMs);
  brittleServers.recordResponse(server, head.isBrittle, sentMs);
  if (head.isNotRun && status === UNAVAILABLE_STATUS)
    brittleServers.recordRejection(server);
  if (
    head.isServerLeaving &&
    !servers.find(server.id)?.availability.isLeaving
  ) {
    servers.markLeaving(server);
    logger.info('server_leaving', {server: server.id});
  }
  if (!asksForPause(status, head)) return;
  servers.pause(server, head.retryAfterMs, performance.now());
  logger.info('server_paused', {server: server.id, pauseMs: head.retryAfterMs});
}

/** True if a response asks for no more requests for some time. */
export function asksForPause(
  status: number,
  head: ResponseHead,
): head is ResponseHead & {readonly retryAfterMs: number} {
  return status === UNAVAILABLE_STATUS && head.retryAfterMs !== undefined;
}

/** Logs how an attempt that did not serve the caller ended. */
export function logAttempt(
  context: GatewayContext,
  exchange: OpenExchange,
  target: SendTarget,
  end: AttemptEnd,
  status: number | undefined,
): void {
  context.metrics.count('attempts_total', {end});
  context.logger.info('attempt_ended', {
    request: exchange.admitted.request.id,
    server: target.record.server.id,
    model: target.model,
    end,
    status,
    attempt: exchange.attempts,
    remainingMs: Math.round(exchange.remainingMs),
  });
}
