import type {GatewayContext} from '../gateway_context.js';
import {chooseTarget, type SendTarget} from './choose_target.js';
import type {OpenExchange} from './open_exchange.js';

/**
 * Chooses the target of a further send, if the attempt limit, the retry budget
 * and the time allow one.
 *
 * @example
 * ```ts
 * const target = planRetry(context, exchange, 'small');
 * if (target) consumeRetry(context, exchange, target);
 * ```
 */
export function planRetry(
  context: GatewayContext,
  exchange: OpenExchange,
  model: string | undefined,
): SendTarget | undefined {
  if (exchange.stopped !== undefined) return undefined;
  if (context.crashGuard.findQuarantined(exchange.suspectIds)) return undefined;
  if (exchange.isTrial && isRetry(exchange)) return undefined;
  if (exchange.attempts >= exchange.admitted.route.maxAttempts) {
    return undefined;
  }
  const target = chooseTarget(context, exchange, model);
  if (target === undefined) return undefined;
  if (!isRetry(exchange)) return target;
  const budget = context.retryBudgets.get(target.service.name);
  return budget.countLeft(performance.now()) >= 1 ? target : undefined;
}

/** Takes a retry from the budget, unless no earlier send reached a server. */
export function consumeRetry(
  context: GatewayContext,
  exchange: OpenExchange,
  target: SendTarget,
): void {
  if (!isRetry(exchange)) return;
  context.retryBudgets.get(target.service.name).tryTake(performance.now());
  context.metrics.count('repeats_total', {service: target.service.name});
}

/** Returns the retry of a send that never reached its server. */
export function refundRetry(
  context: GatewayContext,
  exchange: OpenExchange,
  {service}: SendTarget,
): void {
  if (!isRetry(exchange)) return;
  context.retryBudgets.get(service.name).refund(performance.now());
}

/** True once an earlier send has reached a server. */
function isRetry({attempts}: OpenExchange): boolean {
  return attempts > 0;
}
