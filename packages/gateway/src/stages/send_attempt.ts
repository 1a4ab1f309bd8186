import {
  delay,
  isTransportError,
  type HttpStream,
  type TransportError,
} from '@anvilrudder/clients';
import {
  classifyResponse,
  isNeverSent,
  isProvenNotRun,
  MISDIRECTED_STATUS,
  type AttemptEnd,
  type InFlightSend,
} from '@anvilrudder/core';
import type {GatewayContext} from '../gateway_context.js';
import type {ResponseHead} from '../ports.js';
import type {BackendResponse} from './backend_response.js';
import type {SendTarget} from './choose_target.js';
import {endSend, endUnfinished} from './end_send.js';
import {isUnproven, observePace} from './observe_response.js';
import type {OpenExchange} from './open_exchange.js';
import {
  asksForPause,
  logVersion,
  recordAvailability,
  recordCut,
  recordSession,
} from './record_send.js';
import {openServerStream} from './open_server_stream.js';
import {beginFirstEventWait} from './schedule.js';

/** Result of one send. */
export interface AttemptResult {
  readonly end: AttemptEnd;
  /** Present once the response head has arrived; the body may follow. */
  readonly backendResponse: BackendResponse | undefined;
}

/**
 * Sends the request to a backend server and waits for the response head. The
 * outcome is recorded for the server when the response ends, or here if there
 * is no response.
 *
 * @example
 * ```ts
 * const {end} = await sendAttempt(context, exchange, target);
 * ```
 */
export async function sendAttempt(
  context: GatewayContext,
  exchange: OpenExchange,
  target: SendTarget,
): Promise<AttemptResult> {
  const send = beginSend(context, exchange, target);
  if (send === undefined) return {end: 'unsent', backendResponse: undefined};
  const mayHaveRunBefore = exchange.mayHaveRun;
  const attempt = {send, target, mayHaveRunBefore, sentMs: performance.now()};
  let endWait: ReturnType<typeof beginFirstEventWait> | undefined;
  try {
    await waitForTurn(exchange, send);
    attempt.sentMs = performance.now();
    endWait = beginFirstEventWait(context, exchange, target);
    const stream = await openServerStream(context, exchange, target, send);
    const result = recordHead(context, exchange, attempt, stream);
    if (result.end === 'answered') endWait('answered');
    return result;
  } catch (error) {
    if (!isTransportError(error)) throw error;
    const end = recordFailure(context, exchange, attempt, error);
    return {end, backendResponse: undefined};
  } finally {
    endWait?.('left');
  }
}

/** A send that has begun. */
interface Attempt {
  readonly send: InFlightSend;
  readonly target: SendTarget;
  /** Whether a server may have run the request before this send. */
  readonly mayHaveRunBefore: boolean;
  /** Time of the send, on the monotonic clock. */
  readonly sentMs: number;
}

/** Registers a send; undefined if its server takes no more requests. */
function beginSend(
  context: GatewayContext,
  exchange: OpenExchange,
  target: SendTarget,
): InFlightSend | undefined {
  const {generation} = exchange.admitted.request;
  const {record, workMs, model, modelName} = target;
  const {server} = record;
  const send = context.servers.begin(
    server.id,
    workMs,
    modelName,
    generation,
    performance.now(),
  );
  if (send === undefined) return undefined;
  context.hostMessenger.announceWork({
    serverId: server.id,
    workMs,
    model: modelName,
    parts: generation?.parts ?? [],
  });
  exchange.attempts += 1;
  exchange.triedServerIds.add(server.id);
  exchange.server = server.id;
  exchange.softwareVersion = server.softwareVersion;
  exchange.versionBasis = target.versionBasis;
  exchange.model = model;
  logVersion(context, exchange, target);
  recordSession(context, exchange, server);
  return send;
}

/** Records what the head of a response says of the send and its server. */
function recordHead(
  context: GatewayContext,
  exchange: OpenExchange,
  {send, target, mayHaveRunBefore, sentMs}: Attempt,
  stream: HttpStream,
): AttemptResult {
  context.hostRelay.recordReached(target.service.name);
  if (stream.status !== MISDIRECTED_STATUS)
    context.slowStarts?.recordReached(send.server);
  const head = context.codec.decodeResponseHead(stream.headers);
  const end = classifyHead(exchange.admitted.request.id, stream.status, head);
  // The answer to this request may follow on the connection.
  if (end === 'garbled') stream.closeConnection();
  recordAvailability(context, send, stream.status, head, sentMs);
  if (isProvenNotRun(end)) exchange.mayHaveRun = mayHaveRunBefore;
  context.servers.markAnswering(send);
  if (end === 'answered') observePrefillTime(context, exchange, target, sentMs);
  const headMs = performance.now();
  return {end, backendResponse: {stream, head, send, target, sentMs, headMs}};
}

/** Records that a send got no response, and returns how it ended. */
function recordFailure(
  context: GatewayContext,
  exchange: OpenExchange,
  {send, target, mayHaveRunBefore, sentMs}: Attempt,
  error: TransportError,
): AttemptEnd {
  const end = classifyFailure(error);
  if (isNeverSent(end)) {
    exchange.mayHaveRun = mayHaveRunBefore;
    // Nothing reached the server, so this is not counted as an attempt.
    exchange.attempts -= 1;
  }
  const isExchangeStopped = exchange.stopped !== undefined;
  if (end === 'unsent' && exchange.stopped !== 'callerLeft') {
    exchange.unsentCount += 1;
    context.hostRelay.recordUnreached(target.service.name, send.server.id);
    recordRefusedConnection(context, target, send, error);
  }
  if (error.failure === 'cut' && !isExchangeStopped)
    recordCut(context, exchange, send, sentMs, false);
  if (isExchangeStopped)
    endUnfinished(context, exchange, target, {send, sentMs});
  else endSend(context, exchange, send, end);
  return end;
}

/**
 * Records that a server may be starting. Time-outs are more often those of links,
 * and a service that can't be reached at all has lost its links.
 */
function recordRefusedConnection(
  {slowStarts, hostRelay}: GatewayContext,
  {service}: SendTarget,
  {server}: InFlightSend,
  error: TransportError,
): void {
  if (slowStarts === undefined) return;
  if (hostRelay.isCutOff(service.name)) {
    slowStarts.forgetUnreached(service.name);
    return;
  }
  // The error takes over the fields of its cause.
  const isRefused = 'code' in error && error.code === 'ECONNREFUSED';
  if (isRefused) slowStarts.recordUnreached(server);
}

/** Waits until the limit of the server allows the request. */
async function waitForTurn(
  {signal}: OpenExchange,
  {notBeforeMs}: InFlightSend,
): Promise<void> {
  const waitMs = notBeforeMs - performance.now();
  if (waitMs > 0) await delay(waitMs, signal);
}

function observePrefillTime(
  context: GatewayContext,
  exchange: OpenExchange,
  target: SendTarget,
  sentMs: number,
): void {
  const {generation} = exchange.admitted.request;
  if (generation === undefined || isUnproven(context, target)) return;
  const elapsedMs = performance.now() - sentMs;
  context.prefillEstimator.observe(
    target.modelName,
    target.uncachedTokens,
    elapsedMs,
  );
  observePace(context, target, {
    key: target.modelName,
    elapsedMs,
    expectedMs: target.workMs / target.pace,
  });
  if (target.forecastMs === undefined) return;
  context.prefillEstimator.observeForecast(target.forecastMs, elapsedMs);
}

function classifyHead(
  requestId: string | undefined,
  status: number,
  head: ResponseHead,
): AttemptEnd {
  return classifyResponse({
    ...head,
    status,
    isForRequest: head.requestId === requestId,
    asksForPause: asksForPause(status, head),
  });
}

function classifyFailure(error: TransportError): AttemptEnd {
  if (error.failure === 'withheld') return 'withheld';
  return error.phase === 'beforeFirstByte' ? 'unsent' : 'lost';
}
