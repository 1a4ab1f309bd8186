import {isTransportError} from '@anvilrudder/clients';
import {decideNextStep, type AttemptEnd} from '@anvilrudder/core';
import type {GatewayContext} from '../gateway_context.js';
import {
  copyEndToEndHeaders,
  endByClose,
  isDelimitedByClose,
} from './answer_headers.js';
import {chooseTarget, type SendTarget} from './choose_target.js';
import {planEscalation} from './escalate.js';
import {
  observePlainTime,
  observeWriting,
  rateStream,
} from './observe_answer.js';
import type {OpenExchange} from './open_exchange.js';
import {readWholeAnswer} from './read_answer.js';
import {planRepeat, returnRepeat, takeRepeat} from './repeat.js';
import {endStream, relayEvents, type RelayEnd} from './relay_stream.js';
import {
  endSend,
  sendAttempt,
  type AttemptResult,
  type ServerAnswer,
} from './send_attempt.js';

const ATTEMPT_END_BY_RELAY: Readonly<Record<RelayEnd, AttemptEnd | undefined>> =
  {whole: 'answered', broken: 'lost', stopped: undefined};

/** Timers may fire this much early. */
const TIMER_SLACK_MS = 1;

/** How long callers of a request that has not run should wait. */
const RETRY_AFTER_MS = {least: 200, most: 700} as const;

/**
 * Sends an admitted request to servers until one answer was passed on whole.
 *
 * @throws RouterError when the request is given up before any answer began.
 * @example
 * ```ts
 * await dispatchRequest(context, exchange);
 * ```
 */
export async function dispatchRequest(
  context: GatewayContext,
  exchange: OpenExchange,
): Promise<void> {
  let target = chooseTarget(context, exchange, findFirstModel(exchange));
  if (target === undefined) throw giveUp(context, exchange);
  context.budgets.of(target.service.name).recordFirst(performance.now());
  for (;;) {
    const result = await sendAttempt(context, exchange, target);
    const next = await handleResult(context, exchange, target, result);
    if (next === undefined) return;
    target = next;
  }
}

function findFirstModel({admitted}: OpenExchange): string | undefined {
  const {request, route} = admitted;
  if (request.generation === undefined) return undefined;
  return request.generation.model ?? route.models[0];
}

/** Returns where to send the request next; undefined when it is answered. */
async function handleResult(
  context: GatewayContext,
  exchange: OpenExchange,
  target: SendTarget,
  {end, answer}: AttemptResult,
): Promise<SendTarget | undefined> {
  // The wait for a server ends at the same moment as the exchange.
  const isTimeUp = exchange.remainingMs < TIMER_SLACK_MS;
  if (isTimeUp && end !== 'answered') exchange.stop('timeLimit');
  if (exchange.stopped !== undefined) {
    if (answer) dropAnswer(context, exchange, answer, undefined);
    throw giveUp(context, exchange);
  }
  if (end !== 'answered' || answer === undefined) {
    return handleFailure(context, exchange, target, end, answer);
  }
  const larger = planEscalation(context, exchange, answer);
  if (larger !== undefined) {
    dropAnswer(context, exchange, answer, 'answered');
    exchange.escalations += 1;
    return larger;
  }
  return exchange.admitted.route.kind === 'stream'
    ? relayStreamAnswer(context, exchange, answer)
    : relayWholeAnswer(context, exchange, answer);
}

async function handleFailure(
  context: GatewayContext,
  exchange: OpenExchange,
  target: SendTarget,
  end: AttemptEnd,
  answer: ServerAnswer | undefined,
): Promise<SendTarget | undefined> {
  logAttempt(context, exchange, target, end, answer);
  if (end === 'unsent') returnRepeat(context, exchange, target);
  const again = planRepeat(context, exchange, target.model);
  const step = decideNextStep(end, exchange.isRepeatable, again !== undefined);
  if (step === 'tryAnotherServer' && again !== undefined) {
    if (answer) dropAnswer(context, exchange, answer, end);
    takeRepeat(context, exchange, again);
    return again;
  }
  if (step === 'relay' && answer !== undefined) {
    return relayWholeAnswer(context, exchange, answer, end);
  }
  if (answer) dropAnswer(context, exchange, answer, end);
  throw giveUp(context, exchange);
}

/** Cuts an answer of which the caller has received nothing. */
function dropAnswer(
  context: GatewayContext,
  exchange: OpenExchange,
  {stream, send}: ServerAnswer,
  end: AttemptEnd | undefined,
): void {
  void stream.chunks.return?.();
  endSend(context, exchange, send, end);
}

async function relayWholeAnswer(
  context: GatewayContext,
  exchange: OpenExchange,
  answer: ServerAnswer,
  end: AttemptEnd = 'answered',
): Promise<SendTarget | undefined> {
  let body: Buffer;
  const sentMs = answer.sentMs;
  try {
    body = await readWholeAnswer(answer.stream);
  } catch (error) {
    if (!isTransportError(error) && !(error instanceof RangeError)) throw error;
    if (exchange.stopped !== undefined) {
      endSend(context, exchange, answer.send, undefined);
      throw giveUp(context, exchange);
    }
    return handleFailure(context, exchange, answer.target, 'lost', answer);
  }
  const slowness = observePlainTime(context, exchange, end, sentMs);
  endSend(context, exchange, answer.send, end, slowness);
  if (exchange.stopped !== undefined) throw giveUp(context, exchange);
  const {response, arrivedMs, request} = exchange.admitted;
  const headers = copyEndToEndHeaders(answer.stream.headers);
  if (isDelimitedByClose(answer.stream)) endByClose(response);
  else if (request.method !== 'HEAD') headers['content-length'] = body.length;
  exchange.firstMs = performance.now() - arrivedMs;
  response.writeHead(answer.stream.status, headers);
  response.end(body);
  return undefined;
}

/** Relays a stream, and resumes it at other servers when it breaks. */
async function relayStreamAnswer(
  context: GatewayContext,
  exchange: OpenExchange,
  first: ServerAnswer,
): Promise<SendTarget | undefined> {
  let answer = first;
  for (;;) {
    const {end, durationMs} = await relayEvents(context, exchange, answer);
    const seen = ATTEMPT_END_BY_RELAY[end];
    const slowness = end === 'whole' ? rateStream(context, answer) : undefined;
    endSend(context, exchange, answer.send, seen, slowness);
    if (end === 'whole') {
      observeWriting(context, exchange, answer.target.modelName, durationMs);
      endStream(exchange, answer);
      return undefined;
    }
    const {response} = exchange.admitted;
    if (end === 'broken' && !response.headersSent) {
      return handleFailure(context, exchange, answer.target, 'lost', undefined);
    }
    const next =
      end === 'broken'
        ? await resumeStream(context, exchange, answer)
        : undefined;
    if (next === undefined) {
      if (!response.headersSent) throw giveUp(context, exchange);
      // Closing without the end of the body marks the answer as broken off.
      response.destroy();
      return undefined;
    }
    answer = next;
  }
}

async function resumeStream(
  context: GatewayContext,
  exchange: OpenExchange,
  broken: ServerAnswer,
): Promise<ServerAnswer | undefined> {
  if (!exchange.isRepeatable) return undefined;
  for (;;) {
    const target = planRepeat(context, exchange, broken.target.model);
    if (target === undefined) return undefined;
    takeRepeat(context, exchange, target);
    exchange.resumptions += 1;
    const {end, answer} = await sendAttempt(context, exchange, target);
    logAttempt(context, exchange, target, end, answer);
    if (end === 'unsent') returnRepeat(context, exchange, target);
    if (exchange.stopped !== undefined) {
      if (answer) dropAnswer(context, exchange, answer, undefined);
      return undefined;
    }
    const isStream = answer !== undefined && answer.stream.status === 200;
    if (end === 'answered' && isStream) return answer;
    if (answer) dropAnswer(context, exchange, answer, end);
  }
}

function giveUp(context: GatewayContext, exchange: OpenExchange): Error {
  const {least, most} = RETRY_AFTER_MS;
  const retryAfterMs = least + context.random() * (most - least);
  return exchange.createGivenUpError(retryAfterMs);
}

function logAttempt(
  context: GatewayContext,
  exchange: OpenExchange,
  target: SendTarget,
  end: AttemptEnd,
  answer: ServerAnswer | undefined,
): void {
  context.metrics.count('attempts_total', {end});
  context.logger.info('attempt_ended', {
    request: exchange.admitted.request.id,
    server: target.record.server.id,
    model: target.model,
    end,
    status: answer?.stream.status,
    attempt: exchange.attempts,
    remainingMs: Math.round(exchange.remainingMs),
  });
}
