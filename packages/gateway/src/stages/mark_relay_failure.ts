import type {ServerResponse} from 'node:http';
import type {RouterError} from '@anvilrudder/core';
import type {GatewayContext} from '../gateway_context.js';
import {hasLostLinks} from './choose_relay.js';
import type {OpenExchange} from './open_exchange.js';
import {
  RELAY_NOT_RUN_HEADER,
  RELAY_REFUSED_HEADER,
  type RelayRefusal,
} from './relay_headers.js';

/**
 * Tells the host that relays a request what this one knows of its failure.
 *
 * @param exchange undefined if the request was not admitted.
 */
export function markRelayFailure(
  context: GatewayContext,
  response: ServerResponse,
  exchange: OpenExchange | undefined,
  {code, execution}: RouterError,
): void {
  if (response.headersSent) return;
  if (execution === 'notRun') response.setHeader(RELAY_NOT_RUN_HEADER, '1');
  const refusal = resolveRelayRefusal(context, exchange, code);
  if (refusal !== undefined) response.setHeader(RELAY_REFUSED_HEADER, refusal);
}

function resolveRelayRefusal(
  context: GatewayContext,
  exchange: OpenExchange | undefined,
  code: RouterError['code'],
): RelayRefusal | undefined {
  if (code !== 'no_backend' && code !== 'not_ready') return undefined;
  if (context.drain.isDraining) return 'stopping';
  if (code === 'not_ready') return 'behind';
  if (exchange === undefined) return 'unavailable';
  if (hasLostLinks(context, exchange)) return 'unreached';
  return exchange.lostBeforeVersion === undefined
    ? 'unavailable'
    : 'versionLost';
}
