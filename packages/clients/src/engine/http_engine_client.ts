import {
  createBackendError,
  toBackendError,
  type BackendErrorOptions,
} from '../errors/backend_error.js';
import type {HttpStream} from '../http/http_stream.js';
import {
  HttpTransport,
  type HttpResponse,
  type HttpTransportOptions,
} from '../http/http_transport.js';
import {decodeJsonResponse, sendToBackend} from '../http/backend_call.js';
import {
  createStatusError,
  type RefusalCodesByStatus,
} from '../http/status_error.js';
import {SseParser, type ServerSentEvent} from '../utils/sse_parser.js';
import {
  readCacheEventPage,
  readEngineLoad,
  readCancelResult,
  readOrderResult,
} from './engine_responses.js';
import type {
  CacheEventPage,
  EngineClient,
  EngineEvent,
  EngineLoad,
  EngineOrder,
  GenerateOptions,
  GenerateRequest,
  OrderResult,
} from './engine_types.js';
import {TokenSequence, type SequenceResult} from './token_sequence.js';

/** Options of {@link HttpEngineClient}. */
export interface HttpEngineClientOptions extends HttpTransportOptions {
  /**
   * Timeout in milliseconds of a call other than a generation. Default 1000.
   */
  readonly timeoutMs?: number;
  /**
   * Timeout in milliseconds for the response headers of a generation. Default
   * 30000.
   */
  readonly firstByteTimeoutMs?: number;
  /**
   * Maximum time in milliseconds between two chunks of the response to a
   * generation. Default 10000.
   */
  readonly idleTimeoutMs?: number;
}

interface ResolvedTimeouts {
  readonly timeoutMs: number;
  readonly firstByteTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

const REFUSAL_CODES: RefusalCodesByStatus = {
  400: ['invalid_request'],
  409: ['not_loaded', 'cancelled'],
  429: ['full'],
  503: ['draining', 'deadline_passed'],
};

const JSON_HEADERS = {'content-type': 'application/json'};

function resolveTimeouts(options: HttpEngineClientOptions): ResolvedTimeouts {
  return {
    timeoutMs: options.timeoutMs ?? 1000,
    firstByteTimeoutMs: options.firstByteTimeoutMs ?? 30_000,
    idleTimeoutMs: options.idleTimeoutMs ?? 10_000,
  };
}

/**
 * Reads the body of an error response. Returns an empty string when the body
 * is incomplete, so that it does not count as proof that nothing ran.
 */
async function readErrorBody(stream: HttpStream): Promise<string> {
  const parts: Buffer[] = [];
  try {
    for await (const chunk of stream.chunks) parts.push(chunk);
  } catch {
    return '';
  }
  return Buffer.concat(parts).toString('utf8');
}

/** Client of model engines that uses HTTP and server-sent events. */
export class HttpEngineClient implements EngineClient {
  private constructor(
    private readonly transport: HttpTransport,
    private readonly timeouts: ResolvedTimeouts,
  ) {}

  /**
   * @example
   * ```ts
   * const engines = HttpEngineClient.create({connectionsPerAddress: 64});
   * for await (const event of engines.generate('127.0.0.1:9000', request)) {
   *   if (event.kind === 'token') write(event.text);
   * }
   * ```
   */
  static create(options: HttpEngineClientOptions = {}): HttpEngineClient {
    const transport = HttpTransport.create(options);
    return new HttpEngineClient(transport, resolveTimeouts(options));
  }

  async *generate(
    address: string,
    request: GenerateRequest,
    options: GenerateOptions = {},
  ): AsyncGenerator<EngineEvent, void, undefined> {
    const sequence = TokenSequence.create(request.resumeFromToken ?? 0);
    try {
      const stream = await this.open(address, request, options);
      if (stream.status !== 200) {
        const text = await readErrorBody(stream);
        throw createStatusError(stream.status, text, REFUSAL_CODES);
      }
      yield* readEvents(stream, sequence);
    } catch (error) {
      throw toBackendError(error, sequence.count);
    }
  }

  async cancel(address: string, requestId: string): Promise<boolean> {
    const response = await this.post(address, '/v1/cancel', {requestId});
    return decodeJsonResponse(response, readCancelResult);
  }

  async load(address: string): Promise<EngineLoad> {
    const response = await this.get(address, '/v1/load');
    return decodeJsonResponse(response, readEngineLoad);
  }

  async cacheEvents(address: string, after: number): Promise<CacheEventPage> {
    const path = `/v1/cache-events?after=${after}`;
    const response = await this.get(address, path);
    return decodeJsonResponse(response, readCacheEventPage);
  }

  async order(address: string, order: EngineOrder): Promise<OrderResult> {
    const response = await this.post(address, '/v1/orders', order);
    return decodeJsonResponse(response, readOrderResult);
  }

  /** Closes all connections; requests in progress fail. */
  close(): Promise<void> {
    return this.transport.close();
  }

  private open(
    address: string,
    request: GenerateRequest,
    options: GenerateOptions,
  ): Promise<HttpStream> {
    const {firstByteTimeoutMs, idleTimeoutMs} = this.timeouts;
    return this.transport.open({
      address,
      method: 'POST',
      path: '/v1/generate',
      headers: JSON_HEADERS,
      body: JSON.stringify(request),
      timeoutMs: options.firstByteTimeoutMs ?? firstByteTimeoutMs,
      idleTimeoutMs: options.idleTimeoutMs ?? idleTimeoutMs,
      signal: options.signal,
      confirmSend: options.confirmSend,
    });
  }

  private get(address: string, path: string): Promise<HttpResponse> {
    const {timeoutMs} = this.timeouts;
    return sendToBackend(this.transport, {
      address,
      method: 'GET',
      path,
      timeoutMs,
    });
  }

  private post(
    address: string,
    path: string,
    body: unknown,
  ): Promise<HttpResponse> {
    const {timeoutMs} = this.timeouts;
    return sendToBackend(this.transport, {
      address,
      method: 'POST',
      path,
      headers: JSON_HEADERS,
      body: JSON.stringify(body),
      timeoutMs,
    });
  }
}

async function* readEvents(
  stream: HttpStream,
  sequence: TokenSequence,
): AsyncGenerator<EngineEvent, void, undefined> {
  const parser = SseParser.create();
  for await (const chunk of stream.chunks) {
    for (const item of parseChunk(parser, chunk, sequence)) {
      const result = sequence.accept(item);
      if (result.kind === 'skip') continue;
      if (result.kind !== 'event') throw createSequenceError(result, sequence);
      const isDone = result.event.kind === 'done';
      if (isDone) stream.discard();
      yield result.event;
      if (isDone) return;
    }
  }
  throw createStreamError('incomplete', sequence);
}

function parseChunk(
  parser: SseParser,
  chunk: Buffer,
  sequence: TokenSequence,
): readonly ServerSentEvent[] {
  try {
    return parser.push(chunk);
  } catch (cause) {
    throw createStreamError('badAnswer', sequence, {cause});
  }
}

function createSequenceError(
  result: Exclude<SequenceResult, {kind: 'event' | 'skip'}>,
  sequence: TokenSequence,
): Error {
  if (result.kind !== 'failed') return createStreamError(result.kind, sequence);
  return createStreamError('failed', sequence, {code: result.code});
}

function createStreamError(
  failure: BackendErrorOptions['failure'],
  sequence: TokenSequence,
  details: Partial<BackendErrorOptions> = {},
): Error {
  const tokenCount = sequence.count;
  return createBackendError({
    phase: 'streaming',
    failure,
    tokenCount,
    ...details,
  });
}
