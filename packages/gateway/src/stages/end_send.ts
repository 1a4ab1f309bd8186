import type {AttemptEnd, InFlightSend} from '@anvilrudder/core';
import type {VersionOutcome} from '../control/rollouts/version_selector.js';
import type {GatewayContext} from '../gateway_context.js';
import type {BackendResponse} from './backend_response.js';
import type {SendTarget} from './choose_target.js';
import {wasSlowWhenTimeWasOver, type AnswerSpeed} from './observe_response.js';
import type {OpenExchange} from './open_exchange.js';
import {logVersionAnswer, recordSession} from './record_send.js';

/** A send without a whole answer. */
interface UnfinishedSend {
  readonly send: InFlightSend;
  /** Time of the send, on the monotonic clock. */
  readonly sentMs: number;
}

type SendOutcome = Pick<VersionOutcome, 'end' | 'isSlow'> &
  Partial<Pick<VersionOutcome, 'slowness'>>;

/**
 * Records how a send ended.
 *
 * @param end undefined if the end says nothing about the server.
 * @param speed its time against the expected one, if that is known.
 */
export function endSend(
  context: GatewayContext,
  exchange: OpenExchange,
  send: InFlightSend,
  end: AttemptEnd | undefined,
  speed?: AnswerSpeed,
): void {
  context.servers.end(send, end, performance.now());
  recordSession(context, exchange, send.server);
  logVersionAnswer(context, exchange, send, {
    end,
    slowness: speed?.slowness,
  });
  if (end === undefined) return;
  recordOutcome(context, exchange, send, {end, ...speed});
}

/** Ends a send whose request was stopped before its answer had come whole. */
export function endUnfinished(
  context: GatewayContext,
  exchange: OpenExchange,
  target: SendTarget,
  {send, sentMs}: UnfinishedSend,
): void {
  endSend(context, exchange, send, undefined);
  const isTimeOver = exchange.stopped === 'timeLimit';
  if (!isTimeOver || !exchange.mayHaveRun) return;
  if (!wasSlowWhenTimeWasOver(context, exchange, target, sentMs)) return;
  recordOutcome(context, exchange, send, {end: undefined, isSlow: true});
}

function recordOutcome(
  {versions}: GatewayContext,
  {admitted, model}: OpenExchange,
  {server}: InFlightSend,
  {end, slowness, isSlow}: SendOutcome,
): void {
  versions.recordOutcome({
    service: server.service,
    version: server.softwareVersion,
    route: `${admitted.route.name}/${model ?? ''}`,
    end,
    slowness,
    isSlow,
  });
}

/** Aborts a response of which nothing has been sent to the caller. */
export function discardResponse(
  context: GatewayContext,
  exchange: OpenExchange,
  {stream, send}: BackendResponse,
  end: AttemptEnd | undefined,
): void {
  void stream.chunks.return?.();
  endSend(context, exchange, send, end);
}
