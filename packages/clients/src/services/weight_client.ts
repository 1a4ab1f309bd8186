import type {ModelVersion} from '@anvilrudder/core';
import {createBackendError, toBackendError} from '../errors/backend_error.js';
import type {HttpStream} from '../http/http_stream.js';
import {
  HttpTransport,
  type HttpTransportOptions,
} from '../http/http_transport.js';
import {parseJsonObject, readNumber} from '../http/json.js';

/** A stream of model weights, or the delay before a retry. */
export type WeightDownload =
  | {readonly status: 'streaming'; readonly chunks: AsyncIterable<Buffer>}
  | {readonly status: 'limited'; readonly retryAfterMs: number};

/** Options of {@link WeightClient}. */
export interface WeightClientOptions extends HttpTransportOptions {
  /**
   * Timeout in milliseconds for the response headers and between two chunks.
   * Default 5000.
   */
  readonly timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 5000;
const DEFAULT_RETRY_AFTER_MS = 1000;

async function readRetryAfterMs(stream: HttpStream): Promise<number> {
  const parts: Buffer[] = [];
  for await (const chunk of stream.chunks) parts.push(chunk);
  const body = parseJsonObject(Buffer.concat(parts).toString('utf8')) ?? {};
  return readNumber(body, 'retryAfterMs') ?? DEFAULT_RETRY_AFTER_MS;
}

/** HTTP client of the rate-limited weight store. */
export class WeightClient {
  private constructor(
    private readonly transport: HttpTransport,
    private readonly timeoutMs: number,
  ) {}

  /**
   * @example
   * ```ts
   * const weights = WeightClient.create();
   * const download = await weights.open('127.0.0.1:9300', {
   *   model: 'quick', version: 'v1',
   * });
   * ```
   */
  static create(options: WeightClientOptions = {}): WeightClient {
    const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    return new WeightClient(HttpTransport.create(options), timeoutMs);
  }

  /**
   * Starts a download. Ending the iteration over the chunks early cancels it.
   *
   * @throws BackendError when the download could not be started.
   */
  async open(address: string, of: ModelVersion): Promise<WeightDownload> {
    const {timeoutMs} = this;
    const [model, version] = [of.model, of.version].map(encodeURIComponent);
    const path = `/weights/${model}/${version}`;
    try {
      const request = {address, method: 'GET', path, timeoutMs} as const;
      const stream = await this.transport.open({
        ...request,
        idleTimeoutMs: timeoutMs,
      });
      return await readDownload(stream);
    } catch (error) {
      throw toBackendError(error);
    }
  }

  /** Closes all connections; requests in progress fail. */
  close(): Promise<void> {
    return this.transport.close();
  }
}

async function readDownload(stream: HttpStream): Promise<WeightDownload> {
  const {status, chunks} = stream;
  if (status === 200) return {status: 'streaming', chunks};
  if (status === 429) {
    return {status: 'limited', retryAfterMs: await readRetryAfterMs(stream)};
  }
  await chunks.return?.();
  throw createBackendError({phase: 'sent', failure: 'badAnswer', status});
}
