import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  normalizeError,
  RouterError,
  withholdUnprovenClaim,
  type CallerLimits,
  type MemoryHold,
} from '@anvilrudder/core';
import type {GatewayContext} from '../gateway_context.js';
import type {ForwardedRequest} from '../ports.js';
import {writeErrorResponse} from '../server/error_response.js';
import {readRequestBody, type BodyLimits} from '../server/read_request_body.js';
import {admitInDrain} from './admit_in_drain.js';
import {admitRequest, type AdmittedRoute} from './admit.js';
import {CallerWriter} from './caller_writer.js';
import {dispatchRequest} from './dispatch.js';
import {markRelayFailure} from './mark_relay_failure.js';
import {OpenExchange} from './open_exchange.js';
import {logInternalError, recordFinished} from './record_request.js';
import {RELAY_ROUTING_HEADER} from './relay_headers.js';
import {endResponse} from './write_response.js';

/** Time in which hosts usually apply a configuration. */
const BEHIND_RETRY_MS = 300;

/** Who sends a request to this host: its caller, or a host that relays it. */
export type RequestSender = 'caller' | 'host';

/** Limits that apply until the first configuration has arrived. */
export const INITIAL_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_048_576,
  headerTimeoutMs: 5000,
  idleTimeoutMs: 15_000,
};

/**
 * Serves one request: admits it, dispatches it, relays the response, and logs
 * the outcome in one line.
 *
 * @example
 * ```ts
 * server.on('request', (message, response) => forward(context, message, response));
 * ```
 */
export async function forward(
  context: GatewayContext,
  message: IncomingMessage,
  response: ServerResponse,
  sender: RequestSender = 'caller',
): Promise<void> {
  const arrivedMs = performance.now();
  if (context.drain.isDraining) response.shouldKeepAlive = false;
  const relayedVersion = sender === 'host' ? takeRelayedVersion(message) : 0;
  const request = context.codec.decodeRequest(message);
  const table = context.routing.current;
  const {resources} = context;
  const hold = resources?.memory.open('running');
  let admitted: AdmittedRoute | undefined;
  let exchange: OpenExchange | undefined;
  let failure: RouterError | undefined;
  let endTracking = (): void => undefined;
  try {
    if (sender === 'host' && context.drain.isDraining)
      throw createStoppingError();
    if (relayedVersion > (table?.version ?? 0)) throw createBehindError();
    admitted = admitRequest(table, request);
    if (context.evacuations?.maySend() === false)
      throw createUnknownEvacuationsError();
    const limits = table?.snapshot.limits ?? INITIAL_LIMITS;
    const body = await readRequestBody(message, {
      maxBytes: limits.maxBodyBytes,
      idleTimeoutMs: limits.idleTimeoutMs,
      ...boundBody(context, admitted, request, arrivedMs, hold),
    });
    const opened = OpenExchange.create({
      ...admitted,
      request,
      routingVersion: table?.version ?? 0,
      arrivedMs,
      body,
      response,
      writer: resources && CallerWriter.create(response, resources.memory),
      callerHeaders: message.headers,
      isRelayed: sender === 'host',
    });
    exchange = opened;
    endTracking = context.drain.track(() => opened.stop('shutdown'));
    admitInDrain(context, exchange);
    await dispatchRequest(context, exchange);
  } catch (error) {
    failure = withholdUnprovenClaim(
      normalizeError(error),
      exchange?.mayHaveRun ?? false,
    );
    if (failure.code === 'internal') logInternalError(context, request, error);
    if (sender === 'host')
      markRelayFailure(context, response, exchange, failure);
    if (exchange !== undefined && response.headersSent)
      endResponse(exchange, 'broken');
    else respondWithError(context, message, response, request, failure);
  } finally {
    exchange?.close();
    hold?.close();
    endTracking();
    recordFinished(context, {
      request,
      admitted,
      exchange,
      failure,
      response,
      arrivedMs,
    });
  }
}

/** Bounds the memory and the time of a body where the settings say so. */
function boundBody(
  {resources}: GatewayContext,
  {route}: AdmittedRoute,
  {deadlineMs = Infinity}: ForwardedRequest,
  arrivedMs: number,
  hold: MemoryHold | undefined,
): Partial<BodyLimits> {
  if (resources === undefined || hold === undefined) return {};
  return {
    endMs: arrivedMs + Math.min(route.timeLimitMs, deadlineMs),
    memory: {hold, resources},
  };
}

function createStoppingError(): RouterError {
  return RouterError.create('This host is stopping.', {code: 'no_backend'});
}

// A caller that has seen a configuration in force must not fall behind it.
function createBehindError(): RouterError {
  return RouterError.create('This host has an older configuration.', {
    code: 'not_ready',
    retryAfterMs: BEHIND_RETRY_MS,
  });
}

// A host that has just started, or was paused, may have missed an evacuation.
function createUnknownEvacuationsError(): RouterError {
  return RouterError.create('This host has not listed the evacuations yet.', {
    code: 'not_ready',
    retryAfterMs: BEHIND_RETRY_MS,
  });
}

/** Removes and returns the version that a relayed request was admitted by. */
function takeRelayedVersion({headers}: IncomingMessage): number {
  const version = Number(headers[RELAY_ROUTING_HEADER] ?? 0);
  delete headers[RELAY_ROUTING_HEADER];
  return version;
}

function respondWithError(
  context: GatewayContext,
  message: IncomingMessage,
  response: ServerResponse,
  request: ForwardedRequest,
  error: RouterError,
): void {
  if (response.destroyed) return;
  writeErrorResponse(response, error, {
    requestId: request.id ?? '',
    headers: context.codec.encodeErrorHeaders(request.id),
    // The unread rest of a body would be parsed as the next request.
    closesConnection: !message.complete || !response.shouldKeepAlive,
  });
}
