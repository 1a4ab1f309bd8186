import type {AttemptEnd} from '@anvilrudder/core';
import type {GatewayContext} from '../gateway_context.js';
import type {OpenExchange} from './open_exchange.js';
import type {ServerAnswer} from './send_attempt.js';

/** Shorter forecasts say little. */
const MIN_RATED_MS = 5;

/**
 * Compares the time to a first event with what was expected. Writing tells
 * less, as it depends on the other requests of a server.
 */
export function rateStream(
  {speeds}: GatewayContext,
  {target, sentMs, headMs}: ServerAnswer,
): number | undefined {
  const expectedMs = speeds.forecastMs(target.forecastMs ?? 0);
  if (expectedMs < MIN_RATED_MS) return undefined;
  return Math.log((headMs - sentMs) / expectedMs);
}

/**
 * The same for a plain answer, whose time is learnt for each route.
 */
export function observePlainTime(
  context: GatewayContext,
  exchange: OpenExchange,
  end: AttemptEnd,
  sentMs: number,
): number | undefined {
  const {route, request} = exchange.admitted;
  if (end !== 'answered' || request.generation) return undefined;
  const key = `route ${route.name}`;
  const seenMs = performance.now() - sentMs;
  const expectedMs = context.writeSpeeds.estimateMs(key, 1);
  context.writeSpeeds.observe(key, 1, seenMs);
  return expectedMs > 0 ? Math.log(seenMs / expectedMs) : undefined;
}

/**
 * Learns how fast a model writes. A stream that began elsewhere tells of a part
 * of its tokens only.
 */
export function observeWriting(
  context: GatewayContext,
  exchange: OpenExchange,
  modelName: string,
  durationMs: number,
): void {
  const {generation, lastEventId} = exchange.admitted.request;
  if (generation === undefined || lastEventId !== undefined) return;
  if (exchange.resumptions > 0) return;
  const {maxOutputTokens} = generation;
  context.writeSpeeds.observe(modelName, maxOutputTokens, durationMs);
}
