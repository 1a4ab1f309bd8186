import type {IncomingHttpHeaders} from 'node:http';
import type {BodyFraming, ServerSurvival} from '@anvilrudder/core';
import type {Dispatcher} from 'undici';
import {
  createTransportError,
  type RequestPhase,
  type TransportFailure,
} from '../errors/transport_error.js';
import {readBodyFraming} from './body_framing.js';
import {ChunkQueue} from './chunk_queue.js';
import type {ConnectionEnd} from './connection_end.js';
import type {
  ExchangeOptions,
  HttpStream,
  ResponseConnection,
} from './http_stream.js';
import {isMergedHead} from './merged_head.js';

/** Lower ones come before the response to a request. */
export const FIRST_FINAL_STATUS = 200;
/** HTTP knows none above it. */
const LAST_STATUS = 599;
const DISCARD_TIMEOUT_MS = 1000;

const FAILURE_BY_END: Readonly<
  Record<ConnectionEnd, TransportFailure | undefined>
> = {
  inOrder: undefined,
  reset: 'cut',
  unproven: 'unproven',
};

/** Without a check of the server the end of the connection decides alone. */
const FAILURE_BY_SURVIVAL: Readonly<
  Record<ServerSurvival | 'unchecked', TransportFailure | undefined>
> = {
  alive: undefined,
  left: undefined,
  crashed: 'cut',
  unknown: 'unproven',
  unchecked: undefined,
};

function parseContentLength(header: string | undefined): number | undefined {
  return header === undefined ? undefined : Number(header);
}

/** Tracks one request from queueing to the end of its response. */
export class HttpExchange implements Dispatcher.DispatchHandler {
  /** Resolves when the response headers were received. */
  readonly opened: Promise<HttpStream>;
  private phase: RequestPhase = 'beforeFirstByte';
  private isFinished = false;
  private isDiscarding = false;
  private remainingBytes: number | undefined;
  private framing: BodyFraming = 'connection';
  private unsentBytes = 0;
  private survival: ServerSurvival | undefined;
  private connection: ResponseConnection | undefined;
  private controller: Dispatcher.DispatchController | undefined;
  private timer: NodeJS.Timeout | undefined;
  private readonly chunks: ChunkQueue;
  private readonly onAbort = () => this.fail('aborted');
  private resolveOpened!: (stream: HttpStream) => void;
  private rejectOpened!: (error: unknown) => void;

  private constructor(private readonly options: ExchangeOptions) {
    this.chunks = ChunkQueue.create({
      pause: () => this.pause(),
      resume: () => this.resume(),
      cancel: () => this.fail('aborted'),
    });
    this.opened = new Promise((resolve, reject) => {
      this.resolveOpened = resolve;
      this.rejectOpened = reject;
    });
  }

  static create(options: ExchangeOptions): HttpExchange {
    const exchange = new HttpExchange(options);
    exchange.startTimer(options.timeoutMs);
    options.signal?.addEventListener('abort', exchange.onAbort);
    if (options.signal?.aborted) exchange.fail('aborted');
    return exchange;
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    // undici calls this right before it writes. A second call would write the
    // request again, and a cancelled request must not be written.
    if (this.isFinished || this.phase !== 'beforeFirstByte') {
      controller.abort(new Error('the request was already sent or cancelled'));
      return;
    }
    if (this.options.confirmSend?.() === false) {
      this.fail('withheld');
      controller.abort(new Error('confirmSend returned false'));
      return;
    }
    this.phase = 'sent';
    this.controller = controller;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
    reason?: string,
  ): void {
    if (status < FIRST_FINAL_STATUS || this.isFinished) return;
    if (status > LAST_STATUS || isMergedHead(reason, headers)) {
      this.fail('malformed');
      return;
    }
    this.phase = 'streaming';
    this.connection = this.options.findConnection?.();
    this.remainingBytes = parseContentLength(headers['content-length']);
    this.framing = readBodyFraming(this.options.method, status, headers);
    this.startTimer(this.options.idleTimeoutMs);
    this.resolveOpened(this.createStream(status, headers));
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.remainingBytes !== undefined) this.remainingBytes -= chunk.length;
    if (this.isFinished || this.isDiscarding) return;
    this.startTimer(this.options.idleTimeoutMs);
    this.chunks.push(chunk);
  }

  onResponseEnd(): void {
    if (this.isFinished) return;
    const isJudged = this.framing === 'connection' && !this.isDiscarding;
    if (isJudged) void this.endWithConnection();
    else this.finish();
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    // If the peer closes the connection while reading is paused after the last
    // byte, undici reports an error although the body is complete.
    if (this.remainingBytes === 0) {
      this.onResponseEnd();
      return;
    }
    if (this.phase === 'beforeFirstByte') {
      this.fail('connect', error);
      return;
    }
    if (!this.isFinished) this.options.onConnectionEnd?.();
    this.fail('cut', error);
  }

  /** Ends the exchange with an error; later failures are ignored. */
  fail(failure: TransportFailure, cause?: unknown): void {
    if (this.isFinished) return;
    this.close();
    const error = createTransportError(this.phase, failure, cause);
    if (this.phase === 'streaming') this.chunks.finish(error);
    else this.rejectOpened(error);
    this.controller?.abort(error);
  }

  /** A response that its connection ends is whole only if that is proven. */
  private async endWithConnection(): Promise<void> {
    this.options.onConnectionEnd?.();
    const failure = FAILURE_BY_END[this.connection?.end ?? 'unproven'];
    if (failure !== undefined) {
      this.fail(failure);
      return;
    }
    clearTimeout(this.timer);
    const crash = await this.findCrash();
    if (this.isFinished) return;
    if (crash === undefined) this.finish();
    else this.fail(crash);
  }

  /**
   * Finds out whether the server outlives the end of its connection, and whether it
   * resets the connection behind that end, as it does if it leaves bytes unread.
   */
  private async findCrash(): Promise<TransportFailure | undefined> {
    const {findSurvival} = this.options;
    if (findSurvival === undefined) return FAILURE_BY_SURVIVAL.unchecked;
    this.connection?.hold();
    this.survival = await findSurvival();
    const failure = FAILURE_BY_END[this.connection?.end ?? 'unproven'];
    this.connection?.release();
    return failure ?? FAILURE_BY_SURVIVAL[this.survival];
  }

  private finish(): void {
    this.close();
    this.chunks.finish();
  }

  private createStream(
    status: number,
    headers: IncomingHttpHeaders,
  ): HttpStream {
    const readUnsentBytes = () => this.unsentBytes;
    const readSurvival = () => this.survival;
    return {
      status,
      headers,
      framing: this.framing,
      chunks: this.chunks,
      get unsentBytes() {
        return readUnsentBytes();
      },
      get survival() {
        return readSurvival();
      },
      discard: () => this.discard(),
      closeConnection: () => this.closeConnection(),
    };
  }

  private discard(): void {
    if (this.isFinished) return;
    this.isDiscarding = true;
    this.chunks.finish();
    this.startTimer(DISCARD_TIMEOUT_MS);
    this.connection?.resume();
  }

  private closeConnection(): void {
    this.fail('aborted');
    this.options.closeConnection?.();
  }

  private close(): void {
    this.isFinished = true;
    this.unsentBytes = this.connection?.unsentBytes ?? 0;
    // A further response may arrive on the connection.
    this.connection?.resume();
    clearTimeout(this.timer);
    this.options.signal?.removeEventListener('abort', this.onAbort);
  }

  private startTimer(timeoutMs: number | undefined): void {
    clearTimeout(this.timer);
    if (timeoutMs === undefined) return;
    this.timer = setTimeout(() => this.fail('timeout'), timeoutMs);
  }

  private pause(): void {
    clearTimeout(this.timer);
    this.connection?.pause();
  }

  private resume(): void {
    if (this.isFinished) return;
    this.startTimer(this.options.idleTimeoutMs);
    this.connection?.resume();
  }
}
