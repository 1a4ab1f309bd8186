import type {AttemptEnd} from '@anvilrudder/core';
import type {GatewayContext} from '../gateway_context.js';
import type {OpenExchange} from './open_exchange.js';
import type {BackendResponse} from './send_attempt.js';

/** Shorter forecasts are too imprecise for a comparison. */
const MIN_EXPECTED_MS = 5;

/**
 * Computes the slowness of a streamed response: the logarithm of the time to
 * the response head over the forecast of the first event. Decode time is left
 * out, because it depends on the other requests of the server.
 */
export function computeStreamSlowness(
  {prefillEstimator}: GatewayContext,
  {target, sentMs, headMs}: BackendResponse,
): number | undefined {
  const expectedMs = prefillEstimator.forecastMs(target.forecastMs ?? 0);
  if (expectedMs < MIN_EXPECTED_MS) return undefined;
  return Math.log((headMs - sentMs) / expectedMs);
}

/**
 * Computes the slowness of a response without generation against the average
 * time of its route, and updates that average.
 */
export function observeBufferedResponse(
  context: GatewayContext,
  exchange: OpenExchange,
  end: AttemptEnd,
  sentMs: number,
): number | undefined {
  const {route, request} = exchange.admitted;
  if (end !== 'answered' || request.generation) return undefined;
  const elapsedMs = performance.now() - sentMs;
  const expected = context.routeDurations.estimate(route.name);
  context.routeDurations.observe(route.name, elapsedMs);
  return expected && Math.log(elapsedMs / expected.meanMs);
}

/**
 * Updates the decode speed of a model. Resumed streams are skipped, because
 * they carry only part of the tokens.
 */
export function observeDecodeSpeed(
  context: GatewayContext,
  exchange: OpenExchange,
  modelName: string,
  durationMs: number,
): void {
  const {generation, lastEventId} = exchange.admitted.request;
  if (generation === undefined || lastEventId !== undefined) return;
  if (exchange.resumptions > 0) return;
  const {maxOutputTokens} = generation;
  context.decodeEstimator.observe(modelName, maxOutputTokens, durationMs);
}
