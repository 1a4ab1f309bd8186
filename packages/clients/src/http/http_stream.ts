import type {IncomingHttpHeaders} from 'node:http';
import type {BodyFraming, ServerSurvival} from '@anvilrudder/core';
import type {ConnectionEnd} from './connection_end.js';

/** A connection on which a response arrives. */
export interface ResponseConnection {
  /** How its peer has ended it. */
  readonly end: ConnectionEnd;
  /** Bytes of the request that have not been sent yet. */
  readonly unsentBytes: number;
  /** Stops reading, so that the peer waits once the buffers are full. */
  pause(): void;
  /** Goes on reading. */
  resume(): void;
  /** Keeps the connection behind its end, so that a reset behind it is seen. */
  hold(): void;
  /** Ends {@link hold}. */
  release(): void;
}

/** Options of an exchange of a request and its response. */
export interface ExchangeOptions {
  /** Method of the request; it decides whether the response can have a body. */
  readonly method: string;
  /** Timeout in milliseconds for the response headers. */
  readonly timeoutMs: number;
  /**
   * Maximum time in milliseconds between two chunks of the response; unlimited
   * if undefined.
   */
  readonly idleTimeoutMs?: number;
  readonly signal?: AbortSignal;
  /**
   * Called synchronously right before the first byte is written. If it returns
   * false, nothing is written.
   */
  readonly confirmSend?: () => boolean;
  /**
   * Called when a response arrives; finds the connection that it arrives on. Without
   * it the end of a response that only its connection ends is never proven.
   */
  readonly findConnection?: () => ResponseConnection | undefined;
  /** Closes the connection, during the exchange or after it. */
  readonly closeConnection?: () => void;
  /** Called when the end of the connection ends the request, in order or not. */
  readonly onConnectionEnd?: () => void;
  /**
   * Finds out whether the server outlives the end of a response that only its
   * connection ends. Without it the end of the connection counts as proof.
   */
  readonly findSurvival?: () => Promise<ServerSurvival>;
}

/** Status and headers of a response, and its body as a stream. */
export interface HttpStream {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** What marks the end of {@link chunks}. */
  readonly framing: BodyFraming;
  readonly chunks: AsyncIterableIterator<Buffer>;
  /** Bytes of the request that had not been sent when the response ended. */
  readonly unsentBytes: number;
  /**
   * Whether the server outlived the end of a response that only its connection
   * ends; undefined before that end, and for other responses.
   */
  readonly survival: ServerSurvival | undefined;
  /**
   * Discards the rest of the response so that the connection can be reused. The
   * request is aborted if the response does not end within a second.
   */
  discard(): void;
  /**
   * Closes the connection, whether the response has ended or not, because what
   * arrives on it can't be trusted.
   */
  closeConnection(): void;
}
