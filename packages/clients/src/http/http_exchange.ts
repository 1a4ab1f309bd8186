import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher} from 'undici';
import {
  createTransportError,
  type RequestPhase,
  type TransportFailure,
} from '../errors/transport_error.js';
import {ChunkQueue} from './chunk_queue.js';

/** Limits of one request, and the check before it is written. */
export interface ExchangeOptions {
  /** Time until the head of the answer arrived. */
  readonly timeoutMs: number;
  /** Time between two chunks of the answer; undefined for no limit. */
  readonly idleTimeoutMs?: number;
  readonly signal?: AbortSignal;
  /**
   * Called in the turn of the event loop that writes the first byte; when it
   * returns false nothing is written.
   */
  readonly confirmSend?: () => boolean;
  /**
   * Called at the end of an answer; when it returns false the answer counts as
   * cut. The client takes a reset for the end of an answer behind which the
   * connection would close.
   */
  readonly confirmEnd?: () => boolean;
}

/** The head of an answer and its body as it arrives. */
export interface HttpStream {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly chunks: AsyncIterableIterator<Buffer>;
  /**
   * Drops the rest of the answer, so that its connection can serve again; an
   * answer that does not end soon is cut.
   */
  discard(): void;
}

const FIRST_FINAL_STATUS = 200;
const DISCARD_TIMEOUT_MS = 1000;

function parseContentLength(header: string | undefined): number | undefined {
  return header === undefined ? undefined : Number(header);
}

/** Follows one request from its queue to the end of its answer. */
export class HttpExchange implements Dispatcher.DispatchHandler {
  /** Settles with the head of the answer. */
  readonly opened: Promise<HttpStream>;
  private phase: RequestPhase = 'beforeFirstByte';
  private isFinished = false;
  private isDiscarding = false;
  private remainingBytes: number | undefined;
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
    // The client calls this right before it writes. A second call would write
    // the request again, and a request that was given up must not be written.
    if (this.isFinished || this.phase !== 'beforeFirstByte') {
      controller.abort(new Error('the request was given up'));
      return;
    }
    if (this.options.confirmSend?.() === false) {
      this.fail('withheld');
      controller.abort(new Error('the request was withheld'));
      return;
    }
    this.phase = 'sent';
    this.controller = controller;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (status < FIRST_FINAL_STATUS || this.isFinished) return;
    this.phase = 'streaming';
    this.remainingBytes = parseContentLength(headers['content-length']);
    this.startTimer(this.options.idleTimeoutMs);
    this.resolveOpened({
      status,
      headers,
      chunks: this.chunks,
      discard: () => this.discard(),
    });
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
    if (this.options.confirmEnd?.() === false) {
      this.fail('cut');
      return;
    }
    this.close();
    this.chunks.finish();
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    // When the peer closes while the reader is paused behind the last byte,
    // undici reports a cut although the whole body arrived.
    if (this.remainingBytes === 0) {
      this.onResponseEnd();
      return;
    }
    this.fail(this.phase === 'beforeFirstByte' ? 'connect' : 'cut', error);
  }

  /** Ends the exchange with an error; the first failure counts. */
  fail(failure: TransportFailure, cause?: unknown): void {
    if (this.isFinished) return;
    this.close();
    const error = createTransportError(this.phase, failure, cause);
    if (this.phase === 'streaming') this.chunks.finish(error);
    else this.rejectOpened(error);
    this.controller?.abort(error);
  }

  private discard(): void {
    if (this.isFinished) return;
    this.isDiscarding = true;
    this.chunks.finish();
    this.startTimer(DISCARD_TIMEOUT_MS);
    this.controller?.resume();
  }

  private close(): void {
    this.isFinished = true;
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
    this.controller?.pause();
  }

  private resume(): void {
    if (this.isFinished) return;
    this.startTimer(this.options.idleTimeoutMs);
    this.controller?.resume();
  }
}
