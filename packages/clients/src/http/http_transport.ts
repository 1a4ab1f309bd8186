import type {IncomingHttpHeaders} from 'node:http';
import {Agent} from 'undici';
import {createTransportError} from '../errors/transport_error.js';
import {
  HttpExchange,
  type ExchangeOptions,
  type HttpStream,
} from './http_exchange.js';

/** Settings of the connections to other systems. */
export interface HttpTransportOptions {
  /** Connections to one address at most. Default 128. */
  readonly connectionsPerAddress?: number;
  /**
   * Time that an idle connection is kept. Choose it below that of the servers,
   * so that a request is not written to a connection they are closing.
   * Default 2000.
   */
  readonly keepAliveTimeoutMs?: number;
  /** Time to open a connection. Default 1000. */
  readonly connectTimeoutMs?: number;
}

/** One request to an address. */
export interface HttpRequest extends ExchangeOptions {
  /** `ip:port`. */
  readonly address: string;
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Size of an answer read as a whole. Default 8 MiB. */
  readonly maxResponseBytes?: number;
}

/** A whole answer. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
}

const MIB = 1024 * 1024;
const DEFAULT_MAX_ANSWER_BYTES = 8 * MIB;

function resolveAgentOptions(options: HttpTransportOptions): Agent.Options {
  const keepAliveTimeout = options.keepAliveTimeoutMs ?? 2000;
  return {
    connections: options.connectionsPerAddress ?? 128,
    pipelining: 1,
    keepAliveTimeout,
    keepAliveMaxTimeout: keepAliveTimeout,
    connect: {timeout: options.connectTimeoutMs ?? 1000},
    headersTimeout: 0,
    bodyTimeout: 0,
  };
}

/**
 * Sends HTTP requests, each at most once, and says of each failure how far
 * the request got.
 */
export class HttpTransport {
  private constructor(private readonly agent: Agent) {}

  static create(options: HttpTransportOptions = {}): HttpTransport {
    return new HttpTransport(new Agent(resolveAgentOptions(options)));
  }

  /**
   * Sends a request and returns once the head of the answer arrived.
   *
   * @throws TransportError when no head arrived.
   * @example
   * ```ts
   * const stream = await transport.open({
   *   address: '127.0.0.1:80', method: 'GET', path: '/', timeoutMs: 1000,
   * });
   * ```
   */
  open(request: HttpRequest): Promise<HttpStream> {
    const exchange = HttpExchange.create(request);
    this.dispatch(request, exchange);
    return exchange.opened;
  }

  /**
   * Sends a request and reads the whole answer within `timeoutMs`.
   *
   * @throws TransportError when no whole answer arrived.
   * @example
   * ```ts
   * const answer = await transport.send({
   *   address: '127.0.0.1:80', method: 'GET', path: '/', timeoutMs: 1000,
   * });
   * ```
   */
  async send(request: HttpRequest): Promise<HttpResponse> {
    const exchange = HttpExchange.create(request);
    const timer = setTimeout(() => exchange.fail('timeout'), request.timeoutMs);
    this.dispatch(request, exchange);
    try {
      const {status, headers, chunks} = await exchange.opened;
      const limitBytes = request.maxResponseBytes ?? DEFAULT_MAX_ANSWER_BYTES;
      const body = await readAll(chunks, limitBytes);
      return {status, headers, body};
    } finally {
      clearTimeout(timer);
    }
  }

  /** Ends the open connections. */
  close(): Promise<void> {
    return this.agent.destroy();
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

async function readAll(
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
