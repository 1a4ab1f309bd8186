import {
  isTransportError,
  type HttpStream,
  type TransportFailure,
} from '@anvilrudder/clients';
import type {ResponseVerdict} from '@anvilrudder/core';
import type {GatewayContext} from '../gateway_context.js';
import {EventSplitter} from './event_splitter.js';
import type {OpenExchange} from './open_exchange.js';
import {waitForDrain, writeStreamHead} from './write_response.js';

/** How relaying the stream of one sender ended. */
export type RelayEnd = ResponseVerdict | 'stopped';

/** Why no more of a stream is relayed. */
type StreamFailure = TransportFailure | 'eventTooLarge' | 'misplaced';

/** A stream, and the server or host that sends it. */
export interface StreamSource {
  readonly stream: HttpStream;
  readonly sender: string;
  /** Called before the first events are relayed. */
  readonly onBegin?: () => void;
}

/** Result of relaying the stream of one sender. */
export interface RelayResult {
  readonly end: RelayEnd;
  /** The connection ended before the stream did, as if the sender had crashed. */
  readonly isCutOff: boolean;
  /** At least one event was relayed. */
  readonly hasBegun: boolean;
  /** Time from the first relayed events to the last. */
  readonly durationMs: number;
}

/**
 * Relays the events of one sender, each once it is complete. The head is written
 * with the first event; a resumed stream keeps the head from its first server.
 *
 * @example
 * ```ts
 * const {end} = await relayEvents(context, exchange, {stream, sender: 'i-1'});
 * ```
 */
export function relayEvents(
  context: GatewayContext,
  exchange: OpenExchange,
  source: StreamSource,
): Promise<RelayResult> {
  return EventRelay.create(context, exchange, source).run();
}

/** Relays the stream of one sender. */
class EventRelay {
  private readonly splitter = EventSplitter.create();
  private chunkCount = 0;
  private firstMs = 0;
  private lastMs = 0;

  private constructor(
    private readonly context: GatewayContext,
    private readonly exchange: OpenExchange,
    private readonly source: StreamSource,
  ) {}

  static create(
    context: GatewayContext,
    exchange: OpenExchange,
    source: StreamSource,
  ): EventRelay {
    return new EventRelay(context, exchange, source);
  }

  async run(): Promise<RelayResult> {
    this.exchange.progress.beginPart();
    return this.conclude(await this.relayChunks());
  }

  /** Returns why the stream broke off; undefined if its sender ended it. */
  private async relayChunks(): Promise<StreamFailure | undefined> {
    try {
      for await (const chunk of this.source.stream.chunks) {
        const failure = await this.relayChunk(chunk);
        if (failure !== undefined) return failure;
      }
    } catch (error) {
      if (!isTransportError(error)) throw error;
      return error.failure;
    }
    return undefined;
  }

  private async relayChunk(chunk: Buffer): Promise<StreamFailure | undefined> {
    const {exchange, splitter, source} = this;
    const {bytes, firstId, lastId} = splitter.push(chunk);
    if (splitter.isEventTooLarge) return 'eventTooLarge';
    if (bytes.length === 0) return undefined;
    if (exchange.stopped !== undefined) return 'aborted';
    if (!this.isInPlace(firstId)) {
      source.stream.closeConnection();
      return 'misplaced';
    }
    this.recordTime();
    this.chunkCount += 1;
    exchange.progress.recordEvents(lastId);
    const {response} = exchange.admitted;
    if (!response.headersSent) writeStreamHead(exchange, source.stream);
    if (!response.write(bytes)) await waitForDrain(exchange);
    return undefined;
  }

  // Where a stream can't be resumed, ids of events may mean anything.
  private isInPlace(firstId: string | undefined): boolean {
    const {admitted, progress} = this.exchange;
    return !admitted.route.isResumable || progress.isNext(firstId);
  }

  private recordTime(): void {
    this.lastMs = performance.now();
    if (this.chunkCount > 0) return;
    this.firstMs = this.lastMs;
    this.source.onBegin?.();
  }

  private conclude(failure: StreamFailure | undefined): RelayResult {
    const {exchange, source, splitter} = this;
    const {framing} = source.stream;
    const {incompleteEventBytes: incompleteBytes} = splitter;
    const hasFailed = failure !== undefined;
    const end =
      exchange.stopped === undefined
        ? exchange.progress.judgeEnd({framing, hasFailed, incompleteBytes})
        : 'stopped';
    this.logEnd(end, failure, incompleteBytes);
    const isOpenEnd = framing === 'connection' || incompleteBytes > 0;
    const isCutOff = failure === 'cut' || (!hasFailed && isOpenEnd);
    return {
      end,
      isCutOff: end === 'broken' && isCutOff,
      hasBegun: this.chunkCount > 0,
      durationMs: this.lastMs - this.firstMs,
    };
  }

  /** Logs who ended a stream and where; a framed end in order needs no line. */
  private logEnd(
    end: RelayEnd,
    failure: StreamFailure | undefined,
    incompleteBytes: number,
  ): void {
    const {context, exchange, source, chunkCount} = this;
    const {framing} = source.stream;
    context.metrics.count('stream_ends_total', {framing, end});
    if (end === 'complete' && chunkCount > 0) return;
    context.logger.info('stream_ended', {
      request: exchange.admitted.request.id,
      server: source.sender,
      end,
      framing,
      failure: failure ?? 'none',
      chunks: chunkCount,
      lastEvent: exchange.progress.lastEventId,
      incompleteBytes,
    });
  }
}
