import {isTransportError} from '@anvilrudder/clients';
import type {ResponseVerdict} from '@anvilrudder/core';
import type {GatewayContext} from '../gateway_context.js';
import {EventSplitter} from './event_splitter.js';
import {
  logStreamEnd,
  type ResponseFailure,
  type ResponseSource,
} from './log_response_end.js';
import type {OpenExchange} from './open_exchange.js';
import {
  createResponseAllowance,
  type ResponseAllowance,
} from './response_allowance.js';
import {waitForDrain, writeStreamHead} from './write_response.js';

/** How relaying the stream of one sender ended. */
export type RelayEnd = ResponseVerdict | 'stopped';

/** A stream, and the server or host that sends it. */
export interface StreamSource extends ResponseSource {
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

/** Incomplete events up to this size are always kept. */
const SMALL_EVENT_BYTES = 64 * 1024;

/** Relays the stream of one sender. */
class EventRelay {
  private readonly splitter = EventSplitter.create();
  private chunkCount = 0;
  private readonly allowance: ResponseAllowance;
  private firstMs = 0;
  private lastMs = 0;

  private constructor(
    private readonly context: GatewayContext,
    private readonly exchange: OpenExchange,
    private readonly source: StreamSource,
  ) {
    this.allowance = createResponseAllowance(context, SMALL_EVENT_BYTES);
  }

  static create(
    context: GatewayContext,
    exchange: OpenExchange,
    source: StreamSource,
  ): EventRelay {
    return new EventRelay(context, exchange, source);
  }

  async run(): Promise<RelayResult> {
    this.exchange.progress.beginPart();
    try {
      return this.conclude(await this.relayChunks());
    } finally {
      this.allowance.release();
    }
  }

  /** Returns why the stream broke off; undefined if its sender ended it. */
  private async relayChunks(): Promise<ResponseFailure | undefined> {
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

  /** Takes memory for an incomplete event; false if there is none left. */
  private keepEvent(): boolean {
    return this.allowance.tryGrowTo(this.splitter.incompleteEventBytes);
  }

  private async relayChunk(
    chunk: Buffer,
  ): Promise<ResponseFailure | undefined> {
    const {exchange, splitter, source} = this;
    const {bytes, firstId, lastId} = splitter.push(chunk);
    if (splitter.isEventTooLarge || !this.keepEvent()) return 'eventTooLarge';
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
    if (!this.writeEvents(bytes)) await this.waitForCaller();
    return undefined;
  }

  /** Returns false if the caller has to read before more is read for it. */
  private writeEvents(bytes: Buffer): boolean {
    const {response, writer} = this.exchange.admitted;
    if (writer === undefined) return response.write(bytes);
    writer.write(bytes);
    return !writer.isFull;
  }

  private async waitForCaller(): Promise<void> {
    const {exchange} = this;
    const {writer} = exchange.admitted;
    do await waitForDrain(exchange);
    while (writer?.isFull && exchange.stopped === undefined);
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

  private conclude(failure: ResponseFailure | undefined): RelayResult {
    const {exchange, source, splitter} = this;
    const {framing} = source.stream;
    const {incompleteEventBytes: incompleteBytes} = splitter;
    const hasFailed = failure !== undefined;
    const end =
      exchange.stopped === undefined
        ? exchange.progress.judgeEnd({framing, hasFailed, incompleteBytes})
        : 'stopped';
    logStreamEnd(this.context, exchange, source, {
      end,
      failure,
      chunks: this.chunkCount,
      lastEvent: exchange.progress.lastEventId,
      incompleteBytes,
    });
    const isOpenEnd = framing === 'connection' || incompleteBytes > 0;
    const isCutOff = failure === 'cut' || (!hasFailed && isOpenEnd);
    return {
      end,
      isCutOff: end === 'broken' && isCutOff,
      hasBegun: this.chunkCount > 0,
      durationMs: this.lastMs - this.firstMs,
    };
  }
}
