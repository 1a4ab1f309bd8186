import type {HttpStream} from '@anvilrudder/clients';
import {
  computeUrgency,
  isSameRun,
  type InFlightSend,
  type RegisteredServer,
} from '@anvilrudder/core';
import type {GatewayContext} from '../gateway_context.js';
import type {SendTarget} from './choose_target.js';
import type {OpenExchange} from './open_exchange.js';

/**
 * Maximum idle time of a reused connection; after a longer time the server may
 * be closing it. Lower for requests that must not run twice.
 */
const MAX_IDLE_MS = {retryable: 3000, atMostOnce: 800} as const;
/** No idle connection is used. */
const NEW_CONNECTION_MS = -1;

/**
 * Sends a request to a backend server, and marks the exchange right before the first
 * byte, as the request may have run from then on.
 *
 * @throws TransportError if there is no response.
 * @example
 * ```ts
 * const stream = await openServerStream(context, exchange, target, send);
 * ```
 */
export function openServerStream(
  context: GatewayContext,
  exchange: OpenExchange,
  target: SendTarget,
  send: InFlightSend,
): Promise<HttpStream> {
  const {request, body} = exchange.admitted;
  const {record, service} = target;
  const {server} = record;
  return context.pools.get(server, service.maxConnections).open({
    method: request.method,
    path: request.path,
    headers: context.codec.encodeOutboundRequest(
      createOutboundRequest(context, exchange, target),
    ),
    body,
    maxIdleMs: chooseMaxIdleMs(exchange),
    timeoutMs: Math.max(1, exchange.remainingMs),
    signal: exchange.signal,
    isServerLeaving: () => isLeaving(context, server),
    confirmSend: () => {
      // While connecting, another response may have asked for no requests.
      // After a pause of the process, timers are handled behind connections.
      if (exchange.remainingMs <= 0) return false;
      if (!mayReceive(context, server)) return false;
      if (!context.servers.confirmSend(send, performance.now())) return false;
      exchange.mayHaveRun = true;
      return true;
    },
  });
}

/** Checks right before the first byte what may have changed since the choice. */
function mayReceive(
  {servers, evacuations}: GatewayContext,
  server: RegisteredServer,
): boolean {
  if (evacuations?.maySend() === false || servers.isEvacuated(server)) {
    evacuations?.recordPrevented('send');
    return false;
  }
  return servers.mayReceive(server, performance.now());
}

/** True if a server leaves, is gone, or another run has replaced it. */
function isLeaving(
  {servers}: GatewayContext,
  server: RegisteredServer,
): boolean {
  const record = servers.find(server.id);
  if (record === undefined || !isSameRun(record.server, server)) return true;
  return record.availability.isLeaving;
}

function createOutboundRequest(
  {settings}: GatewayContext,
  exchange: OpenExchange,
  target: SendTarget,
) {
  const {request, organisation, route} = exchange.admitted;
  const urgency = computeUrgency(settings.scheduling.urgency, {
    isResumed: exchange.resumptions > 0,
    priority: organisation?.priority ?? route.priority,
    workMs: target.workMs,
  });
  return {
    request,
    serverId: target.record.server.id,
    remainingMs: Math.max(1, Math.floor(exchange.remainingMs)),
    organisation: organisation?.name,
    model: target.model,
    urgency: request.generation && urgency,
    lastEventId: exchange.progress.lastEventId,
  };
}

// Nothing in an answer to a request without an id shows that it is its answer,
// so no other request may have used the connection.
function chooseMaxIdleMs({admitted, isRetryable}: OpenExchange): number {
  if (!admitted.request.id) return NEW_CONNECTION_MS;
  return isRetryable ? MAX_IDLE_MS.retryable : MAX_IDLE_MS.atMostOnce;
}
