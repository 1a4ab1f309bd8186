import type {AttemptEnd} from '@anvilrudder/core';
import type {GatewayContext} from '../gateway_context.js';
import type {OpenExchange} from './open_exchange.js';
import type {BackendResponse} from './send_attempt.js';

/** Shorter forecasts say little. */
const MIN_EXPECTED_MS = 5;

/**
 * Compares the time to a first event with what was expected. Writing tells
 * less, as it depends on the other requests of a server.
 */
export function computeStreamSlowness(
  {prefillSpeeds: speeds}: GatewayContext,
  {target, sentMs, headMs}: BackendResponse,
): number | undefined {
  const expectedMs = speeds.forecastMs(target.forecastMs ?? 0);
  if (expectedMs < MIN_EXPECTED_MS) return undefined;
  return Math.log((headMs - sentMs) / expectedMs);
}

/**
 * The same for a plain answer, whose time is learnt for each route.
 */
export function observeBufferedResponse(
  context: GatewayContext,
  exchange: OpenExchange,
  end: AttemptEnd,
  sentMs: number,
): number | undefined {
  const {route, request} = exchange.admitted;
  if (end !== 'answered' || request.generation) return undefined;
  const key = `route ${route.name}`;
  const elapsedMs = performance.now() - sentMs;
  const expectedMs = context.decodeSpeeds.estimateMs(key, 1);
  context.decodeSpeeds.observe(key, 1, elapsedMs);
  return expectedMs > 0 ? Math.log(elapsedMs / expectedMs) : undefined;
}

/**
 * Learns how fast a model writes. A stream that began elsewhere tells of a part
 * of its tokens only.
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
  context.decodeSpeeds.observe(modelName, maxOutputTokens, durationMs);
}
