import {isTransportError, type HttpStream} from '@anvilrudder/clients';
import {RelaySearch, type RelayFailure} from '@anvilrudder/core';
import type {GatewayContext} from '../gateway_context.js';
import {createRegionCheck} from './choose_target.js';
import {createExchangeError} from './exchange_error.js';
import {logDocumentEnd} from './log_response_end.js';
import type {OpenExchange} from './open_exchange.js';
import {readResponse} from './read_response.js';
import {relayEvents} from './relay_stream.js';
import {
  RELAY_NOT_RUN_HEADER,
  RELAY_REFUSED_HEADER,
  RELAY_ROUTING_HEADER,
  type RelayRefusal,
} from './relay_headers.js';
import {
  endResponse,
  isRelayedAsStream,
  respondWithBody,
  writeStreamHead,
} from './write_response.js';

/**
 * Result of a relay. `refused`: the other hosts do not reach the service, or have
 * no room; `noHost`: none could be asked. In both cases the request has not run.
 */
export type RelayThroughHostResult = 'answered' | 'refused' | 'noHost';

/** How a refusal counts in the search of a host; `unavailable` if not listed. */
const FAILURE_BY_REFUSAL: ReadonlyMap<string, RelayFailure> = new Map<
  RelayRefusal,
  RelayFailure
>([
  ['unreached', 'unreached'],
  ['versionLost', 'unreached'],
]);

/** A host has not sent a request, with its reason. */
interface HostRefusal {
  readonly needed: string;
  readonly host: string;
  readonly refusal: string;
}

/** Maximum idle time of a reused connection, see the connections to servers. */
const MAX_IDLE_MS = 3000;

/**
 * Lets another host send a request that no server has received, and relays its
 * response to the caller.
 *
 * @param needed the service, or the version of it, that this host does not reach.
 * @throws RouterError if the request may have run without a response.
 * @example
 * ```ts
 * const result = await relayThroughHost(context, exchange, 'app');
 * ```
 */
export async function relayThroughHost(
  context: GatewayContext,
  exchange: OpenExchange,
  needed: string,
): Promise<RelayThroughHostResult> {
  const {hostRelay} = context;
  const search = RelaySearch.create();
  const isEligible = createRegionCheck(context, exchange);
  while (search.mayAsk) {
    const choice = hostRelay.chooseHost(needed, search.asked, isEligible);
    if (choice.kind === 'unreached') return 'refused';
    if (choice.kind === 'none') break;
    const host = choice.address;
    const {mayHaveRun} = exchange;
    const stream = await askHost(context, exchange, host);
    if (stream === undefined) {
      hostRelay.leaveOut(host);
      search.recordFailure(host, 'notAsked');
      continue;
    }
    const refusal = stream.headers[RELAY_REFUSED_HEADER];
    if (refusal === undefined) {
      exchange.relayedTo = host;
      hostRelay.recordHostSent(needed, host);
      context.metrics.count('relayed_requests_total');
      if (stream.headers[RELAY_NOT_RUN_HEADER] !== undefined)
        exchange.mayHaveRun = mayHaveRun;
      await relayResponse(context, exchange, stream, host);
      return 'answered';
    }
    stream.discard();
    exchange.mayHaveRun = mayHaveRun;
    const hostRefusal = {needed, host, refusal: String(refusal)};
    const failure = FAILURE_BY_REFUSAL.get(hostRefusal.refusal);
    search.recordFailure(host, failure ?? 'unavailable');
    recordRefusal(context, exchange, hostRefusal);
  }
  return search.wasRefused ? 'refused' : 'noHost';
}

/** Records a refusal for the choice of a host for later requests. */
function recordRefusal(
  context: GatewayContext,
  exchange: OpenExchange,
  hostRefusal: HostRefusal,
): void {
  const {needed, host, refusal} = hostRefusal;
  const {hostRelay} = context;
  logRefusal(context, exchange, hostRefusal);
  if (refusal === ('stopping' satisfies RelayRefusal)) hostRelay.leaveOut(host);
  const isUnreached = refusal === ('unreached' satisfies RelayRefusal);
  const isVersionLost = refusal === ('versionLost' satisfies RelayRefusal);
  // A host that has lost one version reaches the service for other requests.
  if (isUnreached || (isVersionLost && exchange.lostBeforeVersion))
    hostRelay.recordHostUnreached(needed, host);
}

function logRefusal(
  {logger, metrics}: GatewayContext,
  {admitted}: OpenExchange,
  {needed, host, refusal}: HostRefusal,
): void {
  metrics.count('relay_refusals_total', {refusal});
  logger.info('relay_refused', {
    request: admitted.request.id,
    needed,
    byHost: host,
    refusal,
  });
}

/** Sends the request to a host; undefined if the host did not get it. */
async function askHost(
  context: GatewayContext,
  exchange: OpenExchange,
  host: string,
): Promise<HttpStream | undefined> {
  const {request, body, callerHeaders, routingVersion} = exchange.admitted;
  const remainingMs = Math.max(1, Math.floor(exchange.remainingMs));
  const headers = {
    ...context.codec.encodeRelayedRequest(callerHeaders, remainingMs),
    [RELAY_ROUTING_HEADER]: String(routingVersion),
  };
  try {
    const stream = await context.hostRelay.getPool(host).open({
      method: request.method,
      path: request.path,
      headers,
      body,
      maxIdleMs: MAX_IDLE_MS,
      timeoutMs: remainingMs,
      signal: exchange.signal,
      confirmSend: () => {
        // After a pause of the process, timers are handled behind connections.
        if (exchange.remainingMs <= 0) return false;
        exchange.mayHaveRun = true;
        return true;
      },
    });
    const head = context.codec.decodeResponseHead(stream.headers);
    if (head.requestId === request.id) return stream;
    stream.closeConnection();
    throw createExchangeError(context, exchange);
  } catch (error) {
    if (!isTransportError(error)) throw error;
    if (error.failure === 'withheld') exchange.stop('timeLimit');
    const isUnsent = error.phase === 'beforeFirstByte';
    if (isUnsent && exchange.stopped === undefined) return undefined;
    throw createExchangeError(context, exchange);
  }
}

async function relayResponse(
  context: GatewayContext,
  exchange: OpenExchange,
  stream: HttpStream,
  host: string,
): Promise<void> {
  if (isRelayedAsStream(exchange, stream))
    await relayStream(context, exchange, stream, host);
  else await relayBody(context, exchange, stream, host);
}

// The other host has resumed the stream wherever it could.
async function relayStream(
  context: GatewayContext,
  exchange: OpenExchange,
  stream: HttpStream,
  sender: string,
): Promise<void> {
  const {response} = exchange.admitted;
  const {end} = await relayEvents(context, exchange, {stream, sender});
  const verdict = end === 'stopped' ? 'broken' : end;
  if (!response.headersSent) {
    if (verdict === 'broken') throw createExchangeError(context, exchange);
    writeStreamHead(exchange, stream);
  }
  endResponse(exchange, verdict);
}

async function relayBody(
  context: GatewayContext,
  exchange: OpenExchange,
  stream: HttpStream,
  sender: string,
): Promise<void> {
  const read = await readResponse(context, exchange, stream);
  const {body, verdict} = read;
  logDocumentEnd(context, exchange, {stream, sender}, {...read, end: verdict});
  if (exchange.stopped !== undefined || verdict === 'broken')
    throw createExchangeError(context, exchange);
  respondWithBody(exchange, stream, body);
}
