import {
  canContinueStream,
  isNeverSent,
  type AttemptEnd,
} from '@anvilrudder/core';
import type {GatewayContext} from '../gateway_context.js';
import type {BackendResponse} from './backend_response.js';
import {discardResponse, endSend} from './end_send.js';
import {createExchangeError} from './exchange_error.js';
import {compareStreamSpeed, observeDecodeSpeed} from './observe_response.js';
import type {OpenExchange} from './open_exchange.js';
import {logAttempt, recordCut} from './record_send.js';
import {relayEvents, type RelayEnd, type RelayResult} from './relay_stream.js';
import {consumeRetry, planRetry, refundRetry} from './retry.js';
import {sendAttempt} from './send_attempt.js';
import {endResponse, writeStreamHead} from './write_response.js';

const ATTEMPT_END_BY_RELAY_END: Readonly<
  Record<RelayEnd, AttemptEnd | undefined>
> = {
  complete: 'answered',
  broken: 'lost',
  stopped: undefined,
};

/**
 * How relaying a streamed response ended. `lost`: the caller has received nothing
 * of it, so that the request may be sent again or fail.
 */
export type StreamedResponseEnd = 'ended' | 'lost';

/**
 * Relays a stream, and resumes it at other servers if it is interrupted.
 *
 * @throws RouterError if the exchange is stopped before the first event.
 * @example
 * ```ts
 * const end = await relayStreamedResponse(context, exchange, backendResponse);
 * ```
 */
export async function relayStreamedResponse(
  context: GatewayContext,
  exchange: OpenExchange,
  initialResponse: BackendResponse,
): Promise<StreamedResponseEnd> {
  const {response} = exchange.admitted;
  let backendResponse = initialResponse;
  for (;;) {
    const {end} = await relayStreamPart(context, exchange, backendResponse);
    if (end === 'stopped') {
      if (!response.headersSent) throw createExchangeError(context, exchange);
      endResponse(exchange, 'broken');
      return 'ended';
    }
    if (end === 'complete') {
      if (!response.headersSent)
        writeStreamHead(exchange, backendResponse.stream);
      endResponse(exchange, end);
      return 'ended';
    }
    if (!response.headersSent) return 'lost';
    const next = await resumeStream(context, exchange, initialResponse);
    if (next === undefined) {
      endResponse(exchange, 'broken');
      return 'ended';
    }
    backendResponse = next;
  }
}

/** Relays the part of a stream that one server sends, and records its end. */
async function relayStreamPart(
  context: GatewayContext,
  exchange: OpenExchange,
  backendResponse: BackendResponse,
): Promise<RelayResult> {
  const {crashGuard} = context;
  const {stream, send, sentMs, target} = backendResponse;
  const [, ...partIds] = exchange.suspectIds;
  const result = await relayEvents(context, exchange, {
    stream,
    sender: send.server.id,
    onBegin: () => crashGuard.recordAnswer(partIds),
  });
  const {end, isCutOff, hasBegun, durationMs} = result;
  if (isCutOff) recordCut(context, exchange, send, sentMs, hasBegun);
  const attemptEnd = ATTEMPT_END_BY_RELAY_END[end];
  const isAnswered = attemptEnd === 'answered';
  const speed = isAnswered
    ? compareStreamSpeed(context, backendResponse)
    : undefined;
  endSend(context, exchange, send, attemptEnd, speed);
  if (isAnswered) {
    crashGuard.recordAnswer(exchange.suspectIds);
    observeDecodeSpeed(context, exchange, target.modelName, durationMs);
  }
  return result;
}

function isContinuation(
  {stream: first}: BackendResponse,
  {stream: next}: BackendResponse,
): boolean {
  return canContinueStream(
    {status: first.status, contentType: first.headers['content-type']},
    {status: next.status, contentType: next.headers['content-type']},
  );
}

async function resumeStream(
  context: GatewayContext,
  exchange: OpenExchange,
  initialResponse: BackendResponse,
): Promise<BackendResponse | undefined> {
  if (!exchange.isRetryable) return undefined;
  for (;;) {
    const target = planRetry(context, exchange, initialResponse.target.model);
    if (target === undefined) return undefined;
    consumeRetry(context, exchange, target);
    exchange.resumptions += 1;
    const {end, backendResponse} = await sendAttempt(context, exchange, target);
    logAttempt(context, exchange, target, end, backendResponse?.stream.status);
    if (isNeverSent(end)) refundRetry(context, exchange, target);
    if (exchange.stopped !== undefined) {
      if (backendResponse)
        discardResponse(context, exchange, backendResponse, undefined);
      return undefined;
    }
    if (backendResponse === undefined) continue;
    if (end === 'answered' && isContinuation(initialResponse, backendResponse))
      return backendResponse;
    discardResponse(context, exchange, backendResponse, end);
  }
}
