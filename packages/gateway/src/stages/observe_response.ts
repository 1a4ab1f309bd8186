import {
  isSlowAnswer,
  type AttemptEnd,
  type PacedRequest,
} from '@anvilrudder/core';
import type {GatewayContext} from '../gateway_context.js';
import type {BackendResponse} from './backend_response.js';
import type {SendTarget} from './choose_target.js';
import type {OpenExchange} from './open_exchange.js';

/** Shorter forecasts are too imprecise for a comparison. */
const MIN_EXPECTED_MS = 5;

/** How the time of an answer compares with the expected one. */
export interface AnswerSpeed {
  /** Logarithm of the actual over the expected time. */
  readonly slowness: number;
  readonly isSlow: boolean;
}

/**
 * Compares the time to the head of a streamed response with the forecast of the
 * first event. Decode time is left out, because it depends on the other requests
 * of the server.
 *
 * @returns undefined without a forecast.
 */
export function compareStreamSpeed(
  context: GatewayContext,
  {target, sentMs, headMs}: BackendResponse,
): AnswerSpeed | undefined {
  return compareSpeed(headMs - sentMs, forecastFirstMs(context, target));
}

/**
 * Compares the time of a response without generation with the mean time of its
 * route, and updates that mean unless the version is being judged by it.
 *
 * @returns undefined if the response is none, or the route had none before.
 */
export function observeBufferedResponse(
  context: GatewayContext,
  exchange: OpenExchange,
  end: AttemptEnd,
  {sentMs, target}: BackendResponse,
): AnswerSpeed | undefined {
  const {route, request} = exchange.admitted;
  if (end !== 'answered' || request.generation) return undefined;
  const elapsedMs = performance.now() - sentMs;
  const expected = context.routeDurations.estimate(route.name);
  if (!isUnproven(context, target)) {
    context.routeDurations.observe(route.name, elapsedMs);
    if (expected !== undefined) {
      observePace(context, target, {
        key: route.name,
        elapsedMs,
        expectedMs: expected.meanMs,
      });
    }
  }
  return compareSpeed(elapsedMs, expected?.meanMs);
}

/**
 * Tells whether an answer was slow already when the time of its request was over.
 * Without an answer to another request since, the links to the server may be cut.
 */
export function wasSlowWhenTimeWasOver(
  context: GatewayContext,
  exchange: OpenExchange,
  target: SendTarget,
  sentMs: number,
): boolean {
  const {route, request} = exchange.admitted;
  const {server} = target.record;
  const answeredMs = context.servers.find(server.id)?.answeredMs ?? -Infinity;
  if (answeredMs < sentMs) return false;
  const expectedMs = request.generation
    ? forecastFirstMs(context, target)
    : context.routeDurations.estimate(route.name)?.meanMs;
  return compareSpeed(performance.now() - sentMs, expectedMs)?.isSlow ?? false;
}

/** True if the version of a target is being judged by its answers. */
export function isUnproven(
  {versions}: GatewayContext,
  {record, service}: SendTarget,
): boolean {
  return versions.isUnproven(service.name, record.server.softwareVersion);
}

/** Updates the pace of a server, if the paces of servers are learnt. */
export function observePace(
  {paces, servers}: GatewayContext,
  {record}: SendTarget,
  request: Omit<PacedRequest, 'serverId'>,
): void {
  const serverId = record.server.id;
  const observation = paces?.observe({...request, serverId});
  if (observation === undefined) return;
  servers.recordPace(observation, performance.now());
}

// A version is compared with the mean pace, as servers of a new version have had
// no time to be known by their own one.
function forecastFirstMs(
  {prefillEstimator}: GatewayContext,
  {forecastMs, pace}: SendTarget,
): number | undefined {
  const expectedMs = prefillEstimator.forecastMs((forecastMs ?? 0) / pace);
  return expectedMs < MIN_EXPECTED_MS ? undefined : expectedMs;
}

function compareSpeed(
  elapsedMs: number,
  expectedMs: number | undefined,
): AnswerSpeed | undefined {
  if (!expectedMs) return undefined;
  const slowness = Math.log(elapsedMs / expectedMs);
  return {slowness, isSlow: isSlowAnswer({elapsedMs, expectedMs})};
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
