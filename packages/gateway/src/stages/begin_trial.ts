import type {GatewayContext} from '../gateway_context.js';
import {hasSpareServer} from './choose_target.js';
import {createExchangeError} from './exchange_error.js';
import type {OpenExchange} from './open_exchange.js';

/** Time after which a service may have a server to spare again. */
const SPARE_SERVER_RETRY_MS = 1000;

/**
 * Begins a trial of a request that may make a server crash, which is kept away
 * from the last server of its service.
 *
 * @throws RouterError if no server is to spare.
 */
export function beginTrial(
  context: GatewayContext,
  exchange: OpenExchange,
): void {
  const {id} = exchange.admitted.request;
  if (hasSpareServer(context, exchange)) {
    context.logger.info('suspect_tried', {request: id});
    exchange.isTrial = true;
    return;
  }
  exchange.stopQuarantined({
    suspectId: exchange.suspectIds[0],
    companionIds: [],
    remainingMs: SPARE_SERVER_RETRY_MS,
  });
  throw createExchangeError(context, exchange);
}
