import {
  isTransportError,
  type HttpStream,
  type TransportError,
} from '@anvilrudder/clients';
import {
  isProvenNotRun,
  type AttemptEnd,
  type InFlightSend,
} from '@anvilrudder/core';
import type {GatewayContext} from '../gateway_context.js';
import type {ResponseHead} from '../ports.js';
import type {SendTarget} from './choose_target.js';
import type {OpenExchange} from './open_exchange.js';

/** The answer of a server to one send. */
export interface ServerAnswer {
  readonly stream: HttpStream;
  readonly head: ResponseHead;
  readonly send: InFlightSend;
  readonly target: SendTarget;
  /** On the monotonic clock. */
  readonly sentMs: number;
  /** When the head arrived. */
  readonly headMs: number;
}

/** How one send went. */
export interface AttemptResult {
  readonly end: AttemptEnd;
  /** Present when the head of an answer came; its body may still come. */
  readonly answer: ServerAnswer | undefined;
}

const MISDIRECTED = 421;
const FIRST_FAILURE_STATUS = 500;

/** An older kept connection may be closing just when it is used. */
const MAX_IDLE_MS = {retryable: 3000, atMostOnce: 800} as const;

/** The least urgent class that servers know; 0 is the most urgent. */
const LEAST_URGENCY = 9;
const RESUMED_URGENCY = 0;
const FIRST_URGENCY = 1;
/** Reading that delays others hardly at all goes before the rest. */
const SHORT_READING_MS = 120;

/**
 * Sends the request to a server and waits for the head of the answer. What is
 * learnt of the server is noted once its answer ends, or here without one.
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
  const {request, body} = exchange.admitted;
  const {record, workMs, service, model, modelName} = target;
  const {server} = record;
  const nowMs = performance.now();
  const send = context.servers.begin(
    server.id,
    workMs,
    modelName,
    request.generation,
    nowMs,
  );
  if (send === undefined) return {end: 'unsent', answer: undefined};
  context.loads.announceWork({
    serverId: server.id,
    workMs,
    model: modelName,
    parts: request.generation?.parts ?? [],
  });
  exchange.attempts += 1;
  exchange.tried.add(server.id);
  exchange.server = server.id;
  exchange.softwareVersion = server.softwareVersion;
  exchange.model = model;
  const pool = context.pools.of(server, service.maxConnections);
  const hadRun = exchange.mayHaveRun;
  if (request.session !== undefined) {
    context.versions.recordSend(request.session, server.softwareVersion);
  }
  try {
    const stream = await pool.open({
      method: request.method,
      path: request.path,
      headers: context.codec.encodeOutboundRequest(
        createOrder(exchange, target),
      ),
      body,
      maxIdleMs: exchange.isRepeatable
        ? MAX_IDLE_MS.retryable
        : MAX_IDLE_MS.atMostOnce,
      timeoutMs: Math.max(1, exchange.remainingMs),
      signal: exchange.signal,
      confirmSend: () => {
        exchange.mayHaveRun = true;
        return true;
      },
    });
    const head = context.codec.decodeResponseHead(stream.headers);
    const end = classifyHead(request.id, stream.status, head);
    if (isProvenNotRun(end)) exchange.mayHaveRun = hadRun;
    context.servers.markAnswering(send);
    if (end === 'answered') observeReading(context, exchange, target, nowMs);
    return {
      end,
      answer: {
        stream,
        head,
        send,
        target,
        sentMs: nowMs,
        headMs: performance.now(),
      },
    };
  } catch (error) {
    if (!isTransportError(error)) throw error;
    const end = classifyFailure(error);
    if (end === 'unsent') {
      exchange.mayHaveRun = hadRun;
      // Nothing reached the server, so the send counts for nothing.
      exchange.attempts -= 1;
    }
    const isOwnStop = exchange.stopped !== undefined;
    endSend(context, exchange, send, isOwnStop ? undefined : end);
    return {end, answer: undefined};
  }
}

/**
 * Notes how a send ended; undefined when it says nothing of its server.
 *
 * @param slowness logarithm of the time taken over the time expected.
 */
export function endSend(
  context: GatewayContext,
  exchange: OpenExchange,
  send: InFlightSend,
  end: AttemptEnd | undefined,
  slowness?: number,
): void {
  context.servers.end(send, end, performance.now());
  if (end === undefined) return;
  context.versions.recordOutcome({
    service: send.server.service,
    version: send.server.softwareVersion,
    route: `${exchange.admitted.route.name}/${exchange.model ?? ''}`,
    end,
    slowness,
  });
}

function observeReading(
  context: GatewayContext,
  exchange: OpenExchange,
  target: SendTarget,
  sentMs: number,
): void {
  const {generation} = exchange.admitted.request;
  if (generation === undefined) return;
  const firstMs = performance.now() - sentMs;
  context.speeds.observe(target.modelName, target.uncachedTokens, firstMs);
  if (target.forecastMs === undefined) return;
  context.speeds.observeForecast(target.forecastMs, firstMs);
}

function createOrder(exchange: OpenExchange, target: SendTarget) {
  const {request, organisation} = exchange.admitted;
  return {
    request,
    serverId: target.record.server.id,
    remainingMs: Math.max(1, Math.floor(exchange.remainingMs)),
    organisation: organisation?.name,
    model: target.model,
    urgency: request.generation && resolveUrgency(exchange, target.workMs),
    lastEventId: exchange.lastEventId,
  };
}

// Short reading goes first: it delays long reading little, and waits long
// behind it otherwise. A resumed stream has a caller in the middle of an answer.
function resolveUrgency(exchange: OpenExchange, workMs: number): number {
  if (exchange.resumptions > 0) return RESUMED_URGENCY;
  const {route, organisation} = exchange.admitted;
  const rank = organisation?.priority ?? route.priority;
  const lengthClass = workMs < SHORT_READING_MS ? 0 : 1;
  const urgency = FIRST_URGENCY + lengthClass + Math.min(1, rank);
  return Math.min(LEAST_URGENCY, urgency);
}

function classifyHead(
  requestId: string | undefined,
  status: number,
  head: ResponseHead,
): AttemptEnd {
  if (head.requestId !== requestId) return 'garbled';
  if (status === MISDIRECTED) return 'replaced';
  if (head.isNotRun) return 'rejected';
  if (status >= FIRST_FAILURE_STATUS) return 'failed';
  const isSuccess = status >= 200 && status < 300;
  if (isSuccess && (!head.isSigned || head.isEncoded)) return 'garbled';
  return 'answered';
}

function classifyFailure(error: TransportError): AttemptEnd {
  return error.phase === 'beforeFirstByte' ? 'unsent' : 'lost';
}
