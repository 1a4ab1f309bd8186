import type {IncomingHttpHeaders} from 'node:http';
import type {Socket} from 'node:net';
import type {BodyFraming} from '@anvilrudder/core';
import {buildConnector, Client, type Dispatcher} from 'undici';
import {
  HttpExchange,
  type ExchangeOptions,
  type HttpStream,
} from './http_exchange.js';
import {wasReset} from './reset_detection.js';
import {ResponseByteLimit} from './response_byte_limit.js';

/** Options of {@link ConnectionPool}. */
export interface ConnectionPoolOptions {
  /** `ip:port`. */
  readonly address: string;
  /** Maximum number of open connections. */
  readonly maxConnections: number;
  /** Connect timeout in milliseconds. Default 700. */
  readonly connectTimeoutMs?: number;
  /**
   * Time in milliseconds that an idle connection is kept if the server does not
   * specify one. Default 4000.
   */
  readonly keepAliveTimeoutMs?: number;
  /** Called for each connection that is opened. */
  readonly onConnect?: () => void;
}

/** A request to be sent on a connection of the pool. */
export interface PooledRequest extends ExchangeOptions {
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer | undefined;
  /** Maximum idle time in milliseconds of a connection that is reused. */
  readonly maxIdleMs: number;
}

const DEFAULTS = {
  connectTimeoutMs: 700,
  keepAliveTimeoutMs: 4000,
  onConnect: () => undefined,
} as const satisfies Partial<ConnectionPoolOptions>;

/** Upper limit of the keep-alive time that a server may request. */
const MAX_KEEP_ALIVE_MS = 30_000;
/**
 * Idle connections are closed this long before the server would close them, so
 * that no request is written to a connection that the server is closing.
 */
const KEEP_ALIVE_MARGIN_MS = 1000;

/** Maximum size of a response without its body. */
const MAX_OVERHEAD_BYTES = 256 * 1024;

/**
 * Creates a connector that gives up in time. The timers of undici's own connect
 * timeout fire up to a second late.
 */
function createPunctualConnector(timeoutMs: number): buildConnector.connector {
  // Open behind an end, so that a reset can be told from it.
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
class PooledConnection {
  private readonly client: Client;
  private hasSocketFailed = false;
  private socket: Socket | undefined;
  private byteLimit: ResponseByteLimit | undefined;
  isClosed = false;
  idleSinceMs = 0;

  private constructor(options: Required<ConnectionPoolOptions>) {
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

  static create(options: Required<ConnectionPoolOptions>): PooledConnection {
    return new PooledConnection(options);
  }

  /**
   * Returns false if a reset may have truncated the response that was being read.
   */
  hasEndedInOrder(framing: BodyFraming): boolean {
    if (this.hasSocketFailed) return false;
    if (framing !== 'connection') return true;
    return this.socket !== undefined && !wasReset(this.socket);
  }

  dispatch(request: PooledRequest, handler: Dispatcher.DispatchHandler): void {
    const {method, path, headers, body} = request;
    this.client.dispatch({method, path, headers, body}, handler);
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

  // This listener must run before that of undici, which treats a connection
  // reset as the normal end of a response that ends with the connection.
  private watchSocket(socket: Socket): void {
    this.socket = socket;
    this.byteLimit = ResponseByteLimit.watch(socket, MAX_OVERHEAD_BYTES);
    socket.once('error', () => {
      this.hasSocketFailed = true;
    });
  }
}

/**
 * Creates a dispatch handler that forwards the events of a request to the
 * exchange and reports when the connection is free.
 */
function createDispatchHandler(
  exchange: HttpExchange,
  onBodyBytes: (bytes: number) => void,
  onConnectionFree: (isReusable: boolean) => void,
): Dispatcher.DispatchHandler {
  return {
    onRequestStart: controller => exchange.onRequestStart(controller),
    onResponseStart: (controller, status, headers, reason) =>
      exchange.onResponseStart(controller, status, headers, reason),
    onResponseData: (controller, chunk) => {
      onBodyBytes(chunk.length);
      exchange.onResponseData(controller, chunk);
    },
    onResponseEnd: () => {
      exchange.onResponseEnd();
      onConnectionFree(true);
    },
    onResponseError: (controller, error) => {
      exchange.onResponseError(controller, error);
      onConnectionFree(false);
    },
  };
}

/**
 * Pool of keep-alive connections to one backend server. Each request is sent at
 * most once; the error of a failed request tells how far it progressed.
 */
export class ConnectionPool {
  private readonly idle: PooledConnection[] = [];
  private openCount = 0;
  private isClosed = false;

  private constructor(
    private readonly options: Required<ConnectionPoolOptions>,
  ) {}

  /**
   * @example
   * ```ts
   * const pool = ConnectionPool.create({address: '10.0.0.1:80', maxConnections: 8});
   * const stream = await pool.open({method: 'GET', path: '/', headers: {},
   *   body: undefined, maxIdleMs: 1000, timeoutMs: 1000});
   * ```
   */
  static create(options: ConnectionPoolOptions): ConnectionPool {
    return new ConnectionPool({...DEFAULTS, ...options});
  }

  /**
   * Sends a request and resolves when the response headers were received.
   *
   * @throws TransportError when no headers were received; its phase is
   *   `beforeFirstByte` when all connections are busy.
   */
  open(request: PooledRequest): Promise<HttpStream> {
    const connection = this.takeIdle(request.maxIdleMs) ?? this.connect();
    const exchange = HttpExchange.create({
      ...request,
      confirmEnd: framing => connection?.hasEndedInOrder(framing) ?? false,
      closeConnection: () => connection?.close(),
    });
    if (connection === undefined) {
      exchange.fail('connect', new Error('all connections are busy'));
      return exchange.opened;
    }
    this.dispatch(connection, request, exchange);
    return exchange.opened;
  }

  /**
   * Closes the idle connections now, and each busy one when its request ends.
   * New requests fail.
   */
  close(): void {
    this.isClosed = true;
    this.closeIdle();
  }

  /** Closes the connections that carry no request. */
  closeIdle(): void {
    for (const connection of this.idle.splice(0)) this.drop(connection);
  }

  private dispatch(
    connection: PooledConnection,
    request: PooledRequest,
    exchange: HttpExchange,
  ): void {
    let isReleased = false;
    const release = (isReusable: boolean): void => {
      if (isReleased) return;
      isReleased = true;
      this.release(connection, isReusable);
    };
    try {
      const handler = createDispatchHandler(
        exchange,
        bytes => connection.countBody(bytes),
        release,
      );
      connection.dispatch(request, handler);
    } catch (error) {
      exchange.fail('connect', error);
      release(false);
    }
  }

  private takeIdle(maxIdleMs: number): PooledConnection | undefined {
    const nowMs = performance.now();
    while (this.idle.length > 0) {
      const connection = this.idle.at(-1);
      if (connection === undefined) return undefined;
      if (connection.isClosed) {
        this.idle.pop();
        this.drop(connection);
        continue;
      }
      // The last connection is the most recently used one.
      if (nowMs - connection.idleSinceMs > maxIdleMs) return undefined;
      this.idle.pop();
      return connection;
    }
    return undefined;
  }

  private connect(): PooledConnection | undefined {
    if (this.isClosed) return undefined;
    if (this.openCount >= this.options.maxConnections) this.closeOneIdle();
    if (this.openCount >= this.options.maxConnections) return undefined;
    this.openCount += 1;
    return PooledConnection.create(this.options);
  }

  private closeOneIdle(): void {
    const oldest = this.idle.shift();
    if (oldest !== undefined) this.drop(oldest);
  }

  private release(connection: PooledConnection, isReusable: boolean): void {
    if (!isReusable || this.isClosed || connection.isClosed) {
      this.drop(connection);
      return;
    }
    connection.idleSinceMs = performance.now();
    this.idle.push(connection);
  }

  private drop(connection: PooledConnection): void {
    this.openCount -= 1;
    connection.close();
  }
}
