import type {IncomingHttpHeaders} from 'node:http';
import type {Socket} from 'node:net';
import {buildConnector, Client, type Dispatcher} from 'undici';
import {ResponseByteLimit, type ResponseLimits} from './response_byte_limit.js';
import {WatchedSocket} from './watched_socket.js';

/** Options of {@link PooledConnection}. */
export interface PooledConnectionOptions {
  /** `ip:port`. */
  readonly address: string;
  readonly connectTimeoutMs: number;
  readonly keepAliveTimeoutMs: number;
  /** Called once the connection is open. */
  readonly onConnect: () => void;
}

/** A request that is written to a connection. */
export interface ConnectionRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer | undefined;
}

/** Upper limit of the keep-alive time that a server may request. */
const MAX_KEEP_ALIVE_MS = 30_000;
/**
 * Idle connections are closed this long before the server would close them, so
 * that no request is written to a connection that the server is closing.
 */
const KEEP_ALIVE_MARGIN_MS = 1000;

const RESPONSE_LIMITS: ResponseLimits = {
  maxBytes: 256 * 1024,
  maxHeadLines: 512,
};

/**
 * Creates a connector that gives up in time. The timers of undici's own connect
 * timeout fire up to a second late.
 */
function createPunctualConnector(timeoutMs: number): buildConnector.connector {
  // Half-open behind the peer's end, as `inspectEnd` writes to it.
  const connect = buildConnector({timeout: 0, allowHalfOpen: true});
  return (target, callback) => {
    const timer = setTimeout(
      () => socket.destroy(new Error('connect timeout')),
      timeoutMs,
    );
    // The declared type lacks the socket that undici returns.
    const socket = connect(target, (...result: Parameters<typeof callback>) => {
      clearTimeout(timer);
      callback(...result);
    }) as unknown as Socket;
  };
}

/** A connection that carries one request at a time. */
export class PooledConnection {
  private readonly client: Client;
  private watchedSocket: WatchedSocket | undefined;
  private byteLimit: ResponseByteLimit | undefined;
  isClosed = false;
  idleSinceMs = 0;

  private constructor(options: PooledConnectionOptions) {
    const connect = createPunctualConnector(options.connectTimeoutMs);
    this.client = new Client(`http://${options.address}`, {
      pipelining: 1,
      keepAliveTimeout: options.keepAliveTimeoutMs,
      keepAliveMaxTimeout: MAX_KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (target, callback) => {
        connect(target, (error, socket) => {
          if (socket) this.watchSocket(socket);
          if (error) callback(error, null);
          else callback(null, socket as Socket);
        });
      },
    });
    this.client.on('connect', options.onConnect);
    this.client.on('disconnect', () => this.close());
    this.client.on('connectionError', () => this.close());
  }

  static create(options: PooledConnectionOptions): PooledConnection {
    return new PooledConnection(options);
  }

  /** Undefined until the connection is open. */
  get socket(): WatchedSocket | undefined {
    return this.watchedSocket;
  }

  /** See {@link WatchedSocket.isOpen}; false until the connection is made. */
  get isOpen(): boolean {
    return !this.isClosed && (this.watchedSocket?.isOpen ?? false);
  }

  dispatch(
    request: ConnectionRequest,
    handler: Dispatcher.DispatchHandler,
  ): void {
    const {method, path, headers, body} = request;
    this.client.dispatch({method, path, headers, body}, handler);
  }

  /** Records that the head of a response is complete. */
  markHead(): void {
    this.byteLimit?.markHead();
  }

  /** Records bytes of the body of a response. */
  countBody(bytes: number): void {
    this.byteLimit?.countBody(bytes);
  }

  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.client.destroy().catch(() => undefined);
  }

  private watchSocket(socket: Socket): void {
    this.byteLimit = ResponseByteLimit.watch(socket, RESPONSE_LIMITS);
    this.watchedSocket = WatchedSocket.watch(socket, () => undefined);
  }
}
