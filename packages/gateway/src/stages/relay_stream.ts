import {isTransportError} from '@anvilrudder/clients';
import {followsEvent} from '@anvilrudder/core';
import type {GatewayContext} from '../gateway_context.js';
import {EventSplitter} from './event_splitter.js';
import type {OpenExchange} from './open_exchange.js';
import {recordCut} from './record_send.js';
import type {BackendResponse} from './send_attempt.js';
import {waitForDrain, writeStreamHead} from './write_response.js';

/** How relaying the stream of one server ended. */
export type RelayEnd = 'whole' | 'broken' | 'stopped';

/** Result of relaying the stream of one server. */
export interface RelayResult {
  readonly end: RelayEnd;
  /** Time from the first relayed chunk to the last. */
  readonly durationMs: number;
}

/**
 * Relays the events of one server, each once it is complete. The head is
 * written with the first event; a resumed stream keeps the head from its first
 * server. The caller gets chunks, also where only the end of the connection
 * delimits the stream, so that one that breaks off does not look complete.
 *
 * @example
 * ```ts
 * const {end} = await relayEvents(context, exchange, backendResponse);
 * ```
 */
export async function relayEvents(
  context: GatewayContext,
  exchange: OpenExchange,
  backendResponse: BackendResponse,
): Promise<RelayResult> {
  const {response, request} = exchange.admitted;
  const {send, sentMs} = backendResponse;
  const splitter = EventSplitter.create();
  let chunkCount = 0;
  let firstMs = 0;
  let lastMs = 0;
  const endOversized = (): RelayResult => {
    const {id} = request;
    context.logger.warn('event_too_large', {
      request: id,
      server: send.server.id,
    });
    return {end: 'broken', durationMs: lastMs - firstMs};
  };
  const endMisplaced = (): RelayResult => {
    backendResponse.stream.closeConnection();
    context.logger.warn('stream_misplaced', {
      request: request.id,
      server: send.server.id,
      after: exchange.lastEventId,
    });
    return {end: 'broken', durationMs: 0};
  };
  const finish = (end: RelayEnd, failure?: string): RelayResult => {
    if (end === 'broken')
      recordCut(context, exchange, send, sentMs, chunkCount > 0);
    logStreamEnd(context, exchange, {
      end,
      failure,
      backendResponse,
      chunkCount,
      incompleteBytes: splitter.incompleteEventBytes,
    });
    return {end, durationMs: lastMs - firstMs};
  };
  try {
    for await (const chunk of backendResponse.stream.chunks) {
      const {bytes, firstId, lastId} = splitter.push(chunk);
      if (splitter.isEventTooLarge) return endOversized();
      if (bytes.length === 0) continue;
      if (exchange.stopped !== undefined) return finish('stopped');
      const isResumed = exchange.resumptions > 0 && chunkCount === 0;
      if (isResumed && !followsEvent(exchange.lastEventId, firstId))
        return endMisplaced();
      lastMs = performance.now();
      if (chunkCount === 0) {
        firstMs = lastMs;
        const [, ...partIds] = exchange.suspectIds;
        context.crashGuard.recordAnswer(partIds);
      }
      chunkCount += 1;
      if (!response.headersSent)
        writeStreamHead(exchange, backendResponse.stream);
      if (lastId !== undefined) exchange.lastEventId = lastId;
      if (!response.write(bytes)) await waitForDrain(exchange);
    }
  } catch (error) {
    if (!isTransportError(error)) throw error;
    return finish(
      exchange.stopped === undefined ? 'broken' : 'stopped',
      error.failure,
    );
  }
  if (exchange.stopped !== undefined) return finish('stopped');
  return finish(splitter.hasIncompleteEvent ? 'broken' : 'whole');
}

interface StreamEnd {
  readonly end: RelayEnd;
  readonly failure: string | undefined;
  readonly backendResponse: BackendResponse;
  readonly chunkCount: number;
  readonly incompleteBytes: number;
}

/** Logs who ended a stream and where; a framed end in order needs no line. */
function logStreamEnd(
  {logger, metrics}: GatewayContext,
  {admitted, lastEventId}: OpenExchange,
  {end, failure, backendResponse, chunkCount, incompleteBytes}: StreamEnd,
): void {
  const {framing} = backendResponse.stream;
  metrics.count('stream_ends_total', {framing, end});
  if (end === 'whole' && framing !== 'connection' && chunkCount > 0) return;
  logger.info('stream_ended', {
    request: admitted.request.id,
    server: backendResponse.send.server.id,
    end,
    framing,
    failure: failure ?? 'none',
    chunks: chunkCount,
    lastEvent: lastEventId,
    incompleteBytes,
  });
}

/** Ends a stream that was received completely. */
export function endStream(
  exchange: OpenExchange,
  backendResponse: BackendResponse,
): void {
  const {response} = exchange.admitted;
  if (!response.headersSent) writeStreamHead(exchange, backendResponse.stream);
  response.end();
}
