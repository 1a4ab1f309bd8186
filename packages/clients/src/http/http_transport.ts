import type {IncomingHttpHeaders} from 'node:http';
import type {Socket} from 'node:net';
import {Agent, buildConnector} from 'undici';
import {createTransportError} from '../errors/transport_error.js';
import {HttpExchange} from './http_exchange.js';
import type {ExchangeOptions, HttpStream} from './http_stream.js';
import {ResponseByteLimit} from './response_byte_limit.js';
import {WatchedSocket} from './watched_socket.js';

/** Options of {@link HttpTransport}. */
export interface HttpTransportOptions {
  /** Maximum number of connections to one address. Default 128. */
  readonly connectionsPerAddress?: number;
  /**
   * Time in milliseconds that an idle connection is kept. It must be shorter
   * than the keep-alive timeout of the servers, so that no request is written
   * to a connection that a server is closing. Default 2000.
   */
  readonly keepAliveTimeoutMs?: number;
  /** Connect timeout in milliseconds. Default 1000. */
  readonly connectTimeoutMs?: number;
  /** If false, each request opens a connection of its own. Default true. */
  readonly reusesConnections?: boolean;
}

/** A request to an address. */
export interface HttpRequest extends ExchangeOptions {
  /** `ip:port`. */
  readonly address: string;
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /**
   * Maximum size of a response body read by {@link HttpTransport.send}. Default
   * 8 MiB.
   */
  readonly maxResponseBytes?: number;
}

/** A complete response. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
}

const MIB = 1024 * 1024;
const DEFAULT_MAX_RESPONSE_BYTES = 8 * MIB;

/** Maximum size of a response, whatever its parts. */
const MAX_TOTAL_BYTES = 16 * MIB;

/** Creates a connector whose connections bear no response without end. */
function createLimitedConnector(
  timeoutMs: number,
  onActive: (watched: WatchedSocket) => void,
): buildConnector.connector {
  // Half-open behind the peer's end, as `inspectEnd` writes to it.
  const connect = buildConnector({timeout: timeoutMs, allowHalfOpen: true});
  return (target, callback) => {
    connect(target, (error, socket) => {
      if (error) {
        callback(error, null);
        return;
      }
      ResponseByteLimit.watch(socket as Socket, {maxBytes: MAX_TOTAL_BYTES});
      WatchedSocket.watch(socket as Socket, onActive);
      callback(null, socket as Socket);
    });
  };
}

function resolveAgentOptions(
  options: HttpTransportOptions,
  onActive: (watched: WatchedSocket) => void,
): Agent.Options {
  const keepAliveTimeout = options.keepAliveTimeoutMs ?? 2000;
  return {
    connections: options.connectionsPerAddress ?? 128,
    // undici closes connections after each response if this is 0.
    pipelining: options.reusesConnections === false ? 0 : 1,
    keepAliveTimeout,
    keepAliveMaxTimeout: keepAliveTimeout,
    connect: createLimitedConnector(options.connectTimeoutMs ?? 1000, onActive),
    headersTimeout: 0,
    bodyTimeout: 0,
  };
}

/**
 * Sends each HTTP request at most once. The error of a failed request tells how
 * far it progressed.
 */
export class HttpTransport {
  private readonly agent: Agent;
  /** The connection from which a response is being read. */
  private activeSocket: WatchedSocket | undefined;

  private constructor(options: HttpTransportOptions) {
    const onActive = (watched: WatchedSocket): void => {
      this.activeSocket = watched;
    };
    this.agent = new Agent(resolveAgentOptions(options, onActive));
  }

  static create(options: HttpTransportOptions = {}): HttpTransport {
    return new HttpTransport(options);
  }

  /**
   * Sends a request and resolves when the response headers were received.
   *
   * @throws TransportError when no headers were received.
   * @example
   * ```ts
   * const stream = await transport.open({
   *   address: '127.0.0.1:80', method: 'GET', path: '/', timeoutMs: 1000,
   * });
   * ```
   */
  open(request: HttpRequest): Promise<HttpStream> {
    const exchange = this.createExchange(request);
    this.dispatch(request, exchange);
    return exchange.opened;
  }

  /**
   * Sends a request and reads the complete response within `timeoutMs`.
   *
   * @throws TransportError when no complete response was received.
   * @example
   * ```ts
   * const response = await transport.send({
   *   address: '127.0.0.1:80', method: 'GET', path: '/', timeoutMs: 1000,
   * });
   * ```
   */
  async send(request: HttpRequest): Promise<HttpResponse> {
    const exchange = this.createExchange(request);
    const timer = setTimeout(() => exchange.fail('timeout'), request.timeoutMs);
    this.dispatch(request, exchange);
    try {
      const {status, headers, chunks} = await exchange.opened;
      const limitBytes = request.maxResponseBytes ?? DEFAULT_MAX_RESPONSE_BYTES;
      const body = await readBody(chunks, limitBytes);
      return {status, headers, body};
    } finally {
      clearTimeout(timer);
    }
  }

  /** Closes all connections; requests in progress fail. */
  close(): Promise<void> {
    return this.agent.destroy();
  }

  private createExchange(request: HttpRequest): HttpExchange {
    return HttpExchange.create({
      ...request,
      findConnection: () => this.activeSocket,
    });
  }

  private dispatch(request: HttpRequest, exchange: HttpExchange): void {
    const {address, method, path, headers, body} = request;
    try {
      this.agent.dispatch(
        {origin: `http://${address}`, method, path, headers, body},
        exchange,
      );
    } catch (error) {
      exchange.fail('connect', error);
    }
  }
}

async function readBody(
  chunks: AsyncIterable<Buffer>,
  limitBytes: number,
): Promise<string> {
  const parts: Buffer[] = [];
  let sizeBytes = 0;
  for await (const chunk of chunks) {
    sizeBytes += chunk.length;
    if (sizeBytes > limitBytes) {
      throw createTransportError('streaming', 'tooLarge');
    }
    parts.push(chunk);
  }
  return Buffer.concat(parts).toString('utf8');
}
