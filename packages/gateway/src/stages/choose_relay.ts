import type {AttemptEnd} from '@anvilrudder/core';
import type {GatewayContext} from '../gateway_context.js';
import {findService} from './choose_target.js';
import {createExchangeError} from './exchange_error.js';
import type {OpenExchange} from './open_exchange.js';
import {relayThroughHost} from './relay_through_host.js';

/** Servers that cannot be connected to before another host is asked. */
const UNSENT_BEFORE_RELAY = 2;

/**
 * Lets another host send the request if this one does not reach its service.
 *
 * @returns true if the caller has its response.
 * @throws RouterError if no host reaches the service.
 */
export async function relayIfCutOff(
  context: GatewayContext,
  exchange: OpenExchange,
): Promise<boolean> {
  const service = findService(context, exchange)?.name;
  if (service === undefined || !context.hostRelay.isCutOff(service))
    return false;
  const {isRelayed} = exchange.admitted;
  const result = isRelayed
    ? 'refused'
    : await relayThroughHost(context, exchange, service);
  if (result !== 'refused') return result === 'answered';
  const request = exchange.admitted.request.id;
  context.logger.info('service_unreached', {request, service, isRelayed});
  throw createExchangeError(context, exchange);
}

/**
 * Lets another host send a request for which this one has no server: it may list
 * servers of the version that is needed, or have a share of the room that brittle
 * servers have.
 *
 * @returns true if the caller has its response.
 */
export async function relayIfNoServer(
  context: GatewayContext,
  exchange: OpenExchange,
): Promise<boolean> {
  const service = findService(context, exchange)?.name;
  if (service === undefined || exchange.admitted.isRelayed) return false;
  // The evacuations and regions are the same at all hosts.
  if (exchange.excludedBy !== undefined) return false;
  const {lostBeforeVersion} = exchange;
  const isBrittle = context.brittleServers.isBrittle(service);
  if (lostBeforeVersion === undefined && !isBrittle) return false;
  const needed =
    lostBeforeVersion === undefined
      ? service
      : `${service}<${lostBeforeVersion}`;
  return (await relayThroughHost(context, exchange, needed)) === 'answered';
}

/** True if no server is left that the request could be sent to directly. */
export function shouldRelayUnsent(
  {admitted, attempts, unsentCount, stopped}: OpenExchange,
  end: AttemptEnd,
  hasTarget: boolean,
): boolean {
  if (end !== 'unsent' || admitted.isRelayed || stopped !== undefined)
    return false;
  return attempts === 0 && (!hasTarget || unsentCount === UNSENT_BEFORE_RELAY);
}

/** True if this host could not send the request as it has lost its links. */
export function hasLostLinks(
  context: GatewayContext,
  exchange: OpenExchange,
): boolean {
  const {attempts, unsentCount} = exchange;
  if (attempts === 0 && unsentCount > 0) return true;
  const service = findService(context, exchange)?.name;
  return service !== undefined && context.hostRelay.isCutOff(service);
}
