import {
  judgeSurvival,
  ServerEnds,
  type ServerSurvival,
} from '@anvilrudder/core';
import type {Dispatcher} from 'undici';
import {delay} from '../utils/delay.js';
import {FIRST_FINAL_STATUS, HttpExchange} from './http_exchange.js';
import type {ExchangeOptions, HttpStream} from './http_stream.js';
import {PooledConnection, type ConnectionRequest} from './pooled_connection.js';
import {probeConnection} from './probe_connection.js';

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
export interface PooledRequest extends ExchangeOptions, ConnectionRequest {
  /** Maximum idle time in milliseconds of a connection that is reused. */
  readonly maxIdleMs: number;
  /** Tells whether the server has said that it leaves. Default: it has not. */
  readonly isServerLeaving?: () => boolean;
}

/** A process that ends closes its listening socket within this time. */
const PROBE_HOLD_MS = 20;

const DEFAULTS = {
  connectTimeoutMs: 700,
  keepAliveTimeoutMs: 4000,
  onConnect: () => undefined,
} as const satisfies Partial<ConnectionPoolOptions>;

/**
 * Creates a dispatch handler that forwards the events of a request to the
 * exchange and reports when the connection is free.
 */
function createDispatchHandler(
  exchange: HttpExchange,
  connection: PooledConnection,
  onConnectionFree: (isReusable: boolean) => void,
): Dispatcher.DispatchHandler {
  return {
    onRequestStart: controller => exchange.onRequestStart(controller),
    onResponseStart: (controller, status, headers, reason) => {
      if (status >= FIRST_FINAL_STATUS) connection.markHead();
      exchange.onResponseStart(controller, status, headers, reason);
    },
    onResponseData: (controller, chunk) => {
      connection.countBody(chunk.length);
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
  private readonly connections = new Set<PooledConnection>();
  private readonly ends = ServerEnds.create();
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
      findConnection: () => connection?.socket,
      closeConnection: () => connection?.close(),
      onConnectionEnd: () => this.ends.record(performance.now()),
      findSurvival: () => this.findSurvival(request.isServerLeaving),
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
      const handler = createDispatchHandler(exchange, connection, release);
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
    const {maxConnections} = this.options;
    if (this.connections.size >= maxConnections) this.closeOneIdle();
    if (this.connections.size >= maxConnections) return undefined;
    const connection = PooledConnection.create(this.options);
    this.connections.add(connection);
    return connection;
  }

  private closeOneIdle(): void {
    const oldest = this.idle.shift();
    if (oldest !== undefined) this.drop(oldest);
  }

  private release(connection: PooledConnection, isReusable: boolean): void {
    // A server that has answered early may not read the rest of its request.
    const isSent = connection.socket?.unsentBytes === 0;
    const isUsable = isReusable && isSent && connection.isOpen;
    if (!isUsable || this.isClosed) {
      this.drop(connection);
      return;
    }
    connection.idleSinceMs = performance.now();
    this.idle.push(connection);
  }

  private drop(connection: PooledConnection): void {
    this.connections.delete(connection);
    connection.close();
  }

  /** Finds out whether the server outlives the end of a response, right behind it. */
  private async findSurvival(
    isServerLeaving: () => boolean = () => false,
  ): Promise<ServerSurvival> {
    const {address, connectTimeoutMs: timeoutMs} = this.options;
    const endedMs = performance.now();
    const probing = probeConnection(address, {
      timeoutMs,
      holdMs: PROBE_HOLD_MS,
    });
    await delay(PROBE_HOLD_MS);
    const otherEndCount = this.ends.countAt(endedMs) - 1;
    return judgeSurvival({
      probe: await probing,
      hasOpenConnection: [...this.connections].some(({isOpen}) => isOpen),
      otherEndCount,
      isLeaving: isServerLeaving(),
    });
  }
}
