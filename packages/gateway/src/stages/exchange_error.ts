import type {GatewayContext} from '../gateway_context.js';
import {computeServicePauseMs} from './choose_target.js';
import type {OpenExchange} from './open_exchange.js';

/** Range of the random part of the retry delay for callers. */
const RETRY_AFTER_MS = {min: 200, max: 700} as const;

/**
 * Creates the final error of an exchange, with the time after which a server may
 * accept its request if none does now.
 */
export function createExchangeError(
  context: GatewayContext,
  exchange: OpenExchange,
): Error {
  const {min, max} = RETRY_AFTER_MS;
  const jitterMs = min + context.random() * (max - min);
  const pauseMs = computeServicePauseMs(context, exchange);
  const {excludedBy} = exchange;
  if (excludedBy === 'evacuation')
    context.evacuations?.recordPrevented('choice');
  if (excludedBy === 'region')
    context.metrics.count('requests_without_region_total');
  if (pauseMs > 0) {
    const request = exchange.admitted.request.id;
    context.metrics.count('postponed_requests_total');
    context.logger.info('no_server_accepts', {
      request,
      waitMs: pauseMs,
      excludedBy,
    });
  }
  return exchange.createFinalError(pauseMs + jitterMs);
}
