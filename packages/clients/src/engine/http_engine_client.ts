import {
  createBackendError,
  toBackendError,
  type BackendErrorOptions,
} from '../errors/backend_error.js';
import type {HttpStream} from '../http/http_exchange.js';
import {
  HttpTransport,
  type HttpResponse,
  type HttpTransportOptions,
} from '../http/http_transport.js';
import {readAnswer, sendToBackend} from '../http/json_call.js';
import {createStatusError, type RefusalTable} from '../http/refusal.js';
import {SseParser, type ServerSentEvent} from '../utils/sse_parser.js';
import {
  readCacheEventPage,
  readEngineLoad,
  readIsCancelled,
  readOrderResult,
} from './engine_answers.js';
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
import {TokenSequence, type SequenceStep} from './token_sequence.js';

/** Settings of the client of model engines. */
export interface HttpEngineClientOptions extends HttpTransportOptions {
  /** Time until a call other than a generation is answered. Default 1000. */
  readonly timeoutMs?: number;
  /** Time until a generation's answer begins. Default 30000. */
  readonly firstByteTimeoutMs?: number;
  /** Time between two pieces of a generation's answer. Default 10000. */
  readonly idleTimeoutMs?: number;
}

interface ResolvedTimeouts {
  readonly timeoutMs: number;
  readonly firstByteTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

const REFUSALS: RefusalTable = {
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

/** Text of a refusal, however it ends; without it nothing is known. */
async function readRefusal(stream: HttpStream): Promise<string> {
  const parts: Buffer[] = [];
  try {
    for await (const chunk of stream.chunks) parts.push(chunk);
  } catch {
    return '';
  }
  return Buffer.concat(parts).toString('utf8');
}

/** A client of model engines over HTTP and server-sent events. */
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
        const text = await readRefusal(stream);
        throw createStatusError(stream.status, text, REFUSALS);
      }
      yield* readEvents(stream, sequence);
    } catch (error) {
      throw toBackendError(error, sequence.count);
    }
  }

  async cancel(address: string, requestId: string): Promise<boolean> {
    const answer = await this.post(address, '/v1/cancel', {requestId});
    return readAnswer(answer, readIsCancelled);
  }

  async load(address: string): Promise<EngineLoad> {
    const answer = await this.get(address, '/v1/load');
    return readAnswer(answer, readEngineLoad);
  }

  async cacheEvents(address: string, after: number): Promise<CacheEventPage> {
    const path = `/v1/cache-events?after=${after}`;
    const answer = await this.get(address, path);
    return readAnswer(answer, readCacheEventPage);
  }

  async order(address: string, order: EngineOrder): Promise<OrderResult> {
    const answer = await this.post(address, '/v1/orders', order);
    return readAnswer(answer, readOrderResult);
  }

  /** Ends the open connections. */
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
      const step = sequence.accept(item);
      if (step.kind === 'skip') continue;
      if (step.kind !== 'event') throw createStepError(step, sequence);
      const isDone = step.event.kind === 'done';
      if (isDone) stream.discard();
      yield step.event;
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

function createStepError(
  step: Exclude<SequenceStep, {kind: 'event' | 'skip'}>,
  sequence: TokenSequence,
): Error {
  if (step.kind !== 'failed') return createStreamError(step.kind, sequence);
  return createStreamError('failed', sequence, {code: step.code});
}

function createStreamError(
  failure: BackendErrorOptions['failure'],
  sequence: TokenSequence,
  rest: Partial<BackendErrorOptions> = {},
): Error {
  const tokenCount = sequence.count;
  return createBackendError({
    phase: 'streaming',
    failure,
    tokenCount,
    ...rest,
  });
}
