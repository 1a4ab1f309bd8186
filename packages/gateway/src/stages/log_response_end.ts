import type {HttpStream, TransportFailure} from '@anvilrudder/clients';
import type {ResponseVerdict} from '@anvilrudder/core';
import type {GatewayContext} from '../gateway_context.js';
import type {OpenExchange} from './open_exchange.js';

/** Why no more of a response is relayed. */
export type ResponseFailure =
  TransportFailure | 'eventTooLarge' | 'bodyTooLarge' | 'misplaced';

/** A response, and the server or host that sends it. */
export interface ResponseSource {
  readonly stream: HttpStream;
  readonly sender: string;
}

/** How a response ended. */
export interface ResponseEnd {
  readonly end: ResponseVerdict | 'stopped';
  /** Undefined if its sender ended the response. */
  readonly failure: ResponseFailure | undefined;
}

/** How the part of a stream that one sender sends ended. */
export interface StreamEnd extends ResponseEnd {
  /** Times that events were relayed. */
  readonly chunks: number;
  /** Id of the last event that was relayed. */
  readonly lastEvent: string | undefined;
  /** Bytes behind the last event that arrived whole. */
  readonly incompleteBytes: number;
}

/**
 * Logs who ended a stream, how and where; a framed end in order needs no line.
 *
 * @example
 * ```ts
 * const ended = {end: 'complete', failure: undefined, chunks: 3, lastEvent: '9', incompleteBytes: 0};
 * logStreamEnd(context, exchange, {stream, sender: 'i-1'}, ended);
 * ```
 */
export function logStreamEnd(
  context: GatewayContext,
  exchange: OpenExchange,
  source: ResponseSource,
  ended: StreamEnd,
): void {
  const {end, chunks, lastEvent, incompleteBytes} = ended;
  const {framing} = source.stream;
  context.metrics.count('stream_ends_total', {framing, end});
  if (isFramedEnd(source, ended) && chunks > 0) return;
  context.logger.info('stream_ended', {
    ...describeEnd(exchange, source, ended),
    chunks,
    lastEvent,
    incompleteBytes,
  });
}

/**
 * Logs who ended a document and how; a framed end in order needs no line.
 *
 * @example
 * ```ts
 * const ended = {end: 'broken', failure: 'cut', body: Buffer.alloc(0)};
 * logDocumentEnd(context, exchange, {stream, sender: 'i-1'}, ended);
 * ```
 */
export function logDocumentEnd(
  context: GatewayContext,
  exchange: OpenExchange,
  source: ResponseSource,
  ended: ResponseEnd & {readonly body: Buffer},
): void {
  const {end, body} = ended;
  const {framing} = source.stream;
  context.metrics.count('document_ends_total', {framing, end});
  if (isFramedEnd(source, ended)) return;
  context.logger.info('document_ended', {
    ...describeEnd(exchange, source, ended),
    bytes: body.length,
  });
}

function isFramedEnd({stream}: ResponseSource, {end}: ResponseEnd): boolean {
  return end === 'complete' && stream.framing !== 'connection';
}

function describeEnd(
  {admitted}: OpenExchange,
  {stream, sender}: ResponseSource,
  {end, failure}: ResponseEnd,
) {
  return {
    request: admitted.request.id,
    server: sender,
    end,
    framing: stream.framing,
    failure: failure ?? 'none',
    survival: stream.survival,
    unsentBytes: stream.unsentBytes || undefined,
  };
}
