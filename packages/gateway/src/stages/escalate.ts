import {
  listLargerModels,
  shouldEscalate,
  type EscalationInput,
  type LargerModel,
} from '@anvilrudder/core';
import type {GatewayContext} from '../gateway_context.js';
import type {BackendResponse} from './backend_response.js';
import type {SendTarget} from './choose_target.js';
import type {OpenExchange} from './open_exchange.js';
import {planRetry, consumeRetry} from './retry.js';
import {resolvePriority} from './schedule.js';

const FULL_CONFIDENCE = 100;

/**
 * Decides whether to replace a response that has begun with that of a larger
 * model, and takes the retry for it from the budget.
 *
 * @returns the target with the larger model; undefined to keep the response.
 * @example
 * ```ts
 * const target = planEscalation(context, exchange, backendResponse);
 * ```
 */
export function planEscalation(
  context: GatewayContext,
  exchange: OpenExchange,
  {head, target}: BackendResponse,
): SendTarget | undefined {
  const {route, request, arrivedMs} = exchange.admitted;
  if (route.models.length === 0 || target.model === undefined) return undefined;
  if (request.generation?.model !== undefined) return undefined;
  exchange.confidence = head.confidence;
  if (!exchange.isRetryable) return undefined;
  const priority = resolvePriority(route, exchange.admitted.organisation);
  let isWithheld = false;
  for (const larger of listLargerModels(route.models, target.model)) {
    // Few answers are escalated, and the choice of a server is costly.
    if (!mayBeWorthEscalating(context, exchange, larger)) continue;
    const next = planRetry(context, exchange, larger.model);
    if (next === undefined) continue;
    const input = createEscalationInput(context, exchange, next, larger);
    const capacityPrice =
      context.loadAdmissions?.readPrice(
        next.service.name,
        priority,
        performance.now(),
      ) ?? 0;
    if (!shouldEscalate({...input, capacityPrice})) {
      isWithheld ||= capacityPrice > 0 && shouldEscalate(input);
      continue;
    }
    exchange.escalatedMs = performance.now() - arrivedMs;
    consumeRetry(context, exchange, next);
    return next;
  }
  if (isWithheld) recordWithheld(context, priority, head.confidence);
  return undefined;
}

/** Counts an escalation that only the price of capacity prevented. */
function recordWithheld(
  {metrics}: GatewayContext,
  priority: number,
  confidence = FULL_CONFIDENCE,
): void {
  const labels = {priority: String(priority)};
  const lostQuality = 1 - confidence / FULL_CONFIDENCE;
  metrics.count('escalations_withheld_total', labels);
  metrics.count('escalation_quality_lost_total', labels, lostQuality);
}

/** False if no server could answer fast enough with the larger model. */
function mayBeWorthEscalating(
  {decodeEstimator}: GatewayContext,
  exchange: OpenExchange,
  {model, correctProbability}: LargerModel,
): boolean {
  const {route, request, arrivedMs} = exchange.admitted;
  const tokens = request.generation?.maxOutputTokens ?? 0;
  return shouldEscalate({
    confidence: exchange.confidence,
    usedBudgetShare: 0,
    capacityPrice: 0,
    expectedFirstMs: 0,
    expectedRestMs: decodeEstimator.estimateMs(model, tokens),
    largerCorrectProbability: correctProbability,
    latencyTargetLeftMs:
      route.latencyTargetMs - (performance.now() - arrivedMs),
    timeLeftMs: exchange.remainingMs,
  });
}

function createEscalationInput(
  context: GatewayContext,
  exchange: OpenExchange,
  next: SendTarget,
  {model, correctProbability}: LargerModel,
): EscalationInput {
  const {route, request, arrivedMs} = exchange.admitted;
  const nowMs = performance.now();
  const tokens = request.generation?.maxOutputTokens ?? 0;
  const expectedFirstMs =
    next.limitDelayMs +
    context.prefillEstimator.forecastMs(next.forecastMs ?? 0);
  exchange.expectedFirstMs = expectedFirstMs;
  return {
    confidence: exchange.confidence,
    usedBudgetShare: context.retryBudgets
      .get(next.service.name)
      .readUsedShare(nowMs),
    capacityPrice: 0,
    expectedFirstMs,
    expectedRestMs: context.decodeEstimator.estimateMs(model, tokens),
    largerCorrectProbability: correctProbability,
    latencyTargetLeftMs: route.latencyTargetMs - (nowMs - arrivedMs),
    timeLeftMs: exchange.remainingMs,
  };
}
