import {
  canServeInDrain,
  RouterError,
  type DurationEstimate,
} from '@anvilrudder/core';
import type {GatewayContext} from '../gateway_context.js';
import {
  chooseInitialModel,
  chooseTarget,
  type SendTarget,
} from './choose_target.js';
import type {OpenExchange} from './open_exchange.js';

/** Another host accepts the request at once; the range spreads the callers. */
const RETRY_ELSEWHERE_MS = {min: 50, max: 150} as const;

/**
 * Rejects a request that a draining host cannot serve whole, before it is sent
 * to a server.
 *
 * @throws RouterError `not_ready`.
 * @example
 * ```ts
 * admitInDrain(context, exchange); // does nothing unless the host drains
 * ```
 */
export function admitInDrain(
  context: GatewayContext,
  exchange: OpenExchange,
): void {
  const {drain, metrics, random} = context;
  if (!drain.isDraining) return;
  const target = chooseTarget(context, exchange, chooseInitialModel(exchange));
  const isServed = canServeInDrain({
    leftMs: drain.leftMs - (target?.limitDelayMs ?? 0),
    limitMs: exchange.remainingMs,
    expected: estimateDuration(context, exchange, target),
  });
  if (isServed) return;
  metrics.count('requests_rejected_in_drain_total');
  const {min, max} = RETRY_ELSEWHERE_MS;
  throw RouterError.create('This host stops before the request could end.', {
    code: 'not_ready',
    retryAfterMs: min + random() * (max - min),
  });
}

/** Estimates the duration of a request at a server; undefined if it is not known. */
function estimateDuration(
  context: GatewayContext,
  exchange: OpenExchange,
  target: SendTarget | undefined,
): DurationEstimate | undefined {
  const {route, request} = exchange.admitted;
  const {generation} = request;
  if (generation === undefined)
    return context.routeDurations.estimate(route.name);
  const {decodeEstimator, prefillEstimator} = context;
  const model = chooseInitialModel(exchange);
  const forecastMs = target?.forecastMs;
  const models = generation.model === undefined ? route.models : [model ?? ''];
  const decodeTimesMs = models.map(name =>
    decodeEstimator.estimateMs(name, generation.maxOutputTokens),
  );
  // A model without observations makes the whole unknown.
  if (forecastMs === undefined || !decodeTimesMs.every(timeMs => timeMs > 0))
    return undefined;
  const meanMs =
    prefillEstimator.forecastMs(forecastMs) + Math.max(...decodeTimesMs);
  return {meanMs, deviationMs: 0};
}
