import type {ServerResponse} from 'node:http';
import {
  ERROR_DEFINITIONS,
  isRequestId,
  type RouterError,
} from '@anvilrudder/core';
import type {GatewayContext} from '../gateway_context.js';
import type {ForwardedRequest} from '../ports.js';
import type {AdmittedRoute} from './admit.js';
import {hashSession} from './hash_session.js';
import type {OpenExchange} from './open_exchange.js';

/** Logs a fault of the program that ended a request. */
export function logInternalError(
  context: GatewayContext,
  request: ForwardedRequest,
  error: unknown,
): void {
  context.logger.error('request_fault', {
    request: request.id,
    message: error instanceof Error ? error.stack : String(error),
  });
}

/** A request that has ended, with what is known of it. */
export interface FinishedRequest {
  readonly request: ForwardedRequest;
  /** Undefined if it was not admitted. */
  readonly admitted: AdmittedRoute | undefined;
  readonly exchange: OpenExchange | undefined;
  readonly failure: RouterError | undefined;
  readonly response: ServerResponse;
  readonly arrivedMs: number;
}

/** Counts a request that has ended, and logs it in one line. */
export function recordFinished(
  context: GatewayContext,
  finished: FinishedRequest,
): void {
  const {request, admitted, exchange, failure, response, arrivedMs} = finished;
  const totalMs = performance.now() - arrivedMs;
  const isBroken = exchange?.responseVerdict === 'broken';
  const outcome =
    failure?.code ??
    exchange?.stopped ??
    (isBroken ? 'stream_broken' : 'answered');
  const status =
    failure === undefined
      ? response.statusCode
      : ERROR_DEFINITIONS[failure.code].httpStatus;
  context.metrics.count('requests_total', {outcome});
  context.metrics.recordMs('request_seconds', {outcome}, totalMs);
  context.logger.info('request_settled', {
    request: request.id,
    sessionHash: hashSession(request.session),
    requestDigest: exchange?.digest,
    organisation: admitted?.organisation?.name,
    route: admitted?.route.name,
    kind: admitted?.route.kind,
    routing: context.routing.current?.version,
    outcome,
    execution: failure?.execution,
    status,
    attempts: exchange?.attempts,
    relayed: exchange?.admitted.isRelayed || undefined,
    relayedTo: exchange?.relayedTo,
    server: exchange?.server,
    version: exchange?.softwareVersion,
    model: exchange?.model,
    confidence: exchange?.confidence,
    escalations: exchange?.escalations || undefined,
    escalatedMs: roundMs(exchange?.escalatedMs),
    expectedFirstMs: roundMs(exchange?.expectedFirstMs),
    resumptions: exchange?.resumptions || undefined,
    responseEnd: exchange?.responseVerdict,
    part: readQuarantinedPart(exchange),
    firstMs: roundMs(exchange?.firstMs),
    totalMs: roundMs(totalMs),
    limitMs: admitted?.route.timeLimitMs,
    deadlineMs: request.deadlineMs,
  });
}

function readQuarantinedPart(
  exchange: OpenExchange | undefined,
): string | undefined {
  const suspectId = exchange?.quarantine?.suspectId;
  return suspectId && !isRequestId(suspectId) ? suspectId : undefined;
}

function roundMs(valueMs: number | undefined): number | undefined {
  return valueMs === undefined ? undefined : Math.round(valueMs);
}
