import {decideNextStep, isNeverSent, type AttemptEnd} from '@anvilrudder/core';
import type {GatewayContext} from '../gateway_context.js';
import type {BackendResponse} from './backend_response.js';
import {beginTrial} from './begin_trial.js';
import {
  relayIfNoServer,
  relayIfCutOff,
  shouldRelayUnsent,
} from './choose_relay.js';
import {
  chooseInitialModel,
  chooseTarget,
  findService,
  type SendTarget,
} from './choose_target.js';
import {planEscalation} from './escalate.js';
import {discardResponse, endSend, endUnfinished} from './end_send.js';
import {createExchangeError} from './exchange_error.js';
import {logDocumentEnd} from './log_response_end.js';
import {observeBufferedResponse} from './observe_response.js';
import type {OpenExchange} from './open_exchange.js';
import {readResponse} from './read_response.js';
import {logAttempt, recordCut} from './record_send.js';
import {relayThroughHost} from './relay_through_host.js';
import {planRetry, refundRetry, consumeRetry} from './retry.js';
import {relayStreamedResponse} from './relay_streamed_response.js';
import {scheduleSend} from './schedule.js';
import {sendAttempt, type AttemptResult} from './send_attempt.js';
import {isRelayedAsStream, respondWithBody} from './write_response.js';

/** Timers may fire early by up to this time. */
const TIMER_SLACK_MS = 1;

/**
 * Sends an admitted request to backend servers until a response has been
 * relayed to the caller.
 *
 * @throws RouterError if the request fails before a response has begun.
 * @example
 * ```ts
 * await dispatchRequest(context, exchange);
 * ```
 */
export async function dispatchRequest(
  context: GatewayContext,
  exchange: OpenExchange,
): Promise<void> {
  const {crashGuard, metrics} = context;
  const {refusal, isTrial, end} = crashGuard.open({
    suspectIds: exchange.suspectIds,
    onQuarantined: quarantine => exchange.stopQuarantined(quarantine),
  });
  try {
    if (refusal !== undefined) {
      metrics.count('quarantined_requests_total');
      exchange.stopQuarantined(refusal);
      throw createExchangeError(context, exchange);
    }
    if (isTrial) beginTrial(context, exchange);
    await sendUntilAnswered(context, exchange);
  } finally {
    end();
  }
}

async function sendUntilAnswered(
  context: GatewayContext,
  exchange: OpenExchange,
): Promise<void> {
  if (await relayIfCutOff(context, exchange)) return;
  let target = await chooseFirstTarget(context, exchange);
  if (target === undefined) {
    if (await relayIfNoServer(context, exchange)) return;
    throw createExchangeError(context, exchange);
  }
  scheduleSend(context, exchange, target);
  context.retryBudgets.get(target.service.name).recordFirst(performance.now());
  for (;;) {
    const result = await sendAttempt(context, exchange, target);
    const next = await handleAttemptResult(context, exchange, target, result);
    if (next === undefined) return;
    target = next;
  }
}

/** Chooses a server; if all are cold, another host may have a token of one. */
async function chooseFirstTarget(
  context: GatewayContext,
  exchange: OpenExchange,
): Promise<SendTarget | undefined> {
  const model = chooseInitialModel(exchange);
  const target = chooseTarget(context, exchange, model);
  const service = findService(context, exchange);
  if (target !== undefined || service === undefined) return target;
  const isGranted = await context.coldTokens?.obtain(service.name);
  return isGranted ? chooseTarget(context, exchange, model) : undefined;
}

/** Returns the next target, or undefined once the caller has its response. */
async function handleAttemptResult(
  context: GatewayContext,
  exchange: OpenExchange,
  target: SendTarget,
  {end, backendResponse}: AttemptResult,
): Promise<SendTarget | undefined> {
  // The timeouts of the attempt and of the exchange expire together.
  const isTimeUp = exchange.remainingMs < TIMER_SLACK_MS;
  if (isTimeUp && end !== 'answered') exchange.stop('timeLimit');
  if (exchange.stopped !== undefined) {
    if (backendResponse)
      discardResponse(context, exchange, backendResponse, undefined);
    throw createExchangeError(context, exchange);
  }
  if (end !== 'answered' || backendResponse === undefined) {
    return handleFailure(context, exchange, target, end, backendResponse);
  }
  const escalationTarget = planEscalation(context, exchange, backendResponse);
  if (escalationTarget !== undefined) {
    discardResponse(context, exchange, backendResponse, 'answered');
    exchange.escalations += 1;
    return escalationTarget;
  }
  if (!isRelayedAsStream(exchange, backendResponse.stream))
    return relayBufferedResponse(context, exchange, backendResponse);
  const streamEnd = await relayStreamedResponse(
    context,
    exchange,
    backendResponse,
  );
  return streamEnd === 'lost'
    ? handleFailure(context, exchange, target, 'lost', undefined)
    : undefined;
}

async function handleFailure(
  context: GatewayContext,
  exchange: OpenExchange,
  target: SendTarget,
  end: AttemptEnd,
  backendResponse: BackendResponse | undefined,
): Promise<SendTarget | undefined> {
  logAttempt(context, exchange, target, end, backendResponse?.stream.status);
  if (isNeverSent(end)) refundRetry(context, exchange, target);
  const retryTarget = planRetry(context, exchange, target.model);
  if (shouldRelayUnsent(exchange, end, retryTarget !== undefined)) {
    const {name} = target.service;
    const result = await relayThroughHost(context, exchange, name);
    if (result === 'answered') return undefined;
  }
  const step = decideNextStep(
    end,
    exchange.isRetryable,
    retryTarget !== undefined,
  );
  if (step === 'tryAnotherServer' && retryTarget !== undefined) {
    if (backendResponse)
      discardResponse(context, exchange, backendResponse, end);
    consumeRetry(context, exchange, retryTarget);
    return retryTarget;
  }
  if (step === 'relay' && backendResponse !== undefined) {
    return relayBufferedResponse(context, exchange, backendResponse, end);
  }
  if (backendResponse) discardResponse(context, exchange, backendResponse, end);
  throw createExchangeError(context, exchange);
}

async function relayBufferedResponse(
  context: GatewayContext,
  exchange: OpenExchange,
  backendResponse: BackendResponse,
  end: AttemptEnd = 'answered',
): Promise<SendTarget | undefined> {
  const {stream, send, sentMs, target} = backendResponse;
  const read = await readResponse(context, exchange, stream);
  const {body, verdict, isCutOff} = read;
  logDocumentEnd(
    context,
    exchange,
    {stream, sender: send.server.id},
    {...read, end: verdict},
  );
  if (verdict === 'broken') {
    if (exchange.stopped !== undefined) {
      endUnfinished(context, exchange, target, {send, sentMs});
      throw createExchangeError(context, exchange);
    }
    if (isCutOff) recordCut(context, exchange, send, sentMs, true);
    return handleFailure(context, exchange, target, 'lost', backendResponse);
  }
  context.crashGuard.recordAnswer(exchange.suspectIds);
  const speed = observeBufferedResponse(
    context,
    exchange,
    end,
    backendResponse,
  );
  endSend(context, exchange, send, end, speed);
  if (exchange.stopped !== undefined)
    throw createExchangeError(context, exchange);
  respondWithBody(exchange, stream, body);
  return undefined;
}
