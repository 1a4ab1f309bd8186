import type {
  Execution,
  ObjectPage,
  ObjectStore,
  StoredObject,
  WatchPage,
  WriteCondition,
  WriteResult,
} from '@anvilrudder/core';
import {decodeStoreResponse} from './decode_store_response.js';
import {
  createObjectStoreError,
  type ObjectStoreFailure,
} from '../errors/object_store_error.js';
import {isTransportError} from '../errors/transport_error.js';
import {
  HttpTransport,
  type HttpResponse,
  type HttpRequest,
  type HttpTransportOptions,
} from '../http/http_transport.js';
import {isJsonObject, readNumber, type JsonObject} from '../http/json.js';
import {
  readObjectPage,
  readStoredObject,
  readWatchPage,
} from './object_responses.js';
import {STORE_FAILURE_BY_TRANSPORT_FAILURE} from './transport_failures.js';

/** Options of {@link HttpObjectStore}. */
export interface HttpObjectStoreOptions extends HttpTransportOptions {
  /** `http://ip:port`. */
  readonly baseUrl: string;
  /**
   * Timeout of a call in milliseconds; for a watch call it is added to the time
   * that the call may wait for changes. Default 2000.
   */
  readonly timeoutMs?: number;
  /** Maximum number of objects in a page of a list. Default 500. */
  readonly pageLimit?: number;
}

type CallRequest = Pick<
  HttpRequest,
  'method' | 'path' | 'body' | 'headers' | 'signal'
> & {readonly timeoutMs?: number};

const DEFAULT_TIMEOUT_MS = 2000;
const DEFAULT_PAGE_LIMIT = 500;

interface StatusFailure {
  readonly failure: ObjectStoreFailure;
  readonly execution: Execution;
}

const BAD_ANSWER: StatusFailure = {failure: 'badAnswer', execution: 'unknown'};

const FAILURE_BY_STATUS: Readonly<Record<number, StatusFailure>> = {
  410: {failure: 'historyGone', execution: 'notRun'},
  413: {failure: 'tooLarge', execution: 'notRun'},
  503: {failure: 'unavailable', execution: 'notRun'},
};

function createResponseError(status: number): Error {
  const {failure, execution} = FAILURE_BY_STATUS[status] ?? BAD_ANSWER;
  const message = `object API responded with status ${status}`;
  return createObjectStoreError(message, {failure, execution});
}

function createConditionHeaders(
  condition: WriteCondition,
): Readonly<Record<string, string>> {
  if (condition.kind === 'absent') return {'if-none-match': '*'};
  if (condition.kind === 'any') return {};
  return {'if-match': `"${condition.version}"`};
}

function encodeKey(key: string): string {
  return key.split('/').map(encodeURIComponent).join('/');
}

function readConflict(body: JsonObject): WriteResult | undefined {
  const {current} = body;
  if (current === null) return {status: 'conflict', current: undefined};
  if (!isJsonObject(current)) return undefined;
  const object = readStoredObject(current);
  return object && {status: 'conflict', current: object};
}

function readWriteResult(body: JsonObject): WriteResult | undefined {
  const version = readNumber(body, 'version');
  return version === undefined ? undefined : {status: 'written', version};
}

/**
 * HTTP client of the platform's object API. Each method sends one request,
 * without retries.
 */
export class HttpObjectStore implements ObjectStore {
  private readonly address: string;
  private readonly timeoutMs: number;
  private readonly pageLimit: number;

  private constructor(
    private readonly transport: HttpTransport,
    options: HttpObjectStoreOptions,
  ) {
    this.address = new URL(options.baseUrl).host;
    this.timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    this.pageLimit = options.pageLimit ?? DEFAULT_PAGE_LIMIT;
  }

  /**
   * @example
   * ```ts
   * const store = HttpObjectStore.create({baseUrl: 'http://127.0.0.1:7000'});
   * await store.put('a', '1', {kind: 'absent'});
   * ```
   */
  static create(options: HttpObjectStoreOptions): HttpObjectStore {
    return new HttpObjectStore(HttpTransport.create(options), options);
  }

  async get(key: string): Promise<StoredObject | undefined> {
    const path = `/objects/${encodeKey(key)}`;
    const response = await this.call({method: 'GET', path});
    if (response.status === 404) return undefined;
    if (response.status !== 200) throw createResponseError(response.status);
    return decodeStoreResponse(response, readStoredObject);
  }

  put(
    key: string,
    value: string,
    condition: WriteCondition,
  ): Promise<WriteResult> {
    return this.write('PUT', key, condition, value);
  }

  delete(key: string, condition: WriteCondition): Promise<WriteResult> {
    return this.write('DELETE', key, condition);
  }

  async list(prefix: string, after?: string): Promise<ObjectPage> {
    const query = new URLSearchParams({prefix, limit: String(this.pageLimit)});
    if (after !== undefined) query.set('after', after);
    const path = `/objects?${query.toString()}`;
    const response = await this.call({method: 'GET', path});
    if (response.status !== 200) throw createResponseError(response.status);
    return decodeStoreResponse(response, readObjectPage);
  }

  async watch(
    prefix: string,
    afterVersion: number,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<WatchPage> {
    const query = new URLSearchParams({
      prefix,
      after: String(afterVersion),
      timeoutMs: String(timeoutMs),
    });
    const response = await this.call({
      method: 'GET',
      path: `/watch?${query.toString()}`,
      timeoutMs: timeoutMs + this.timeoutMs,
      signal,
    });
    if (response.status !== 200) throw createResponseError(response.status);
    return decodeStoreResponse(response, readWatchPage);
  }

  /** Closes all connections; requests in progress fail. */
  close(): Promise<void> {
    return this.transport.close();
  }

  private async write(
    method: 'PUT' | 'DELETE',
    key: string,
    condition: WriteCondition,
    body?: string,
  ): Promise<WriteResult> {
    const path = `/objects/${encodeKey(key)}`;
    const headers = createConditionHeaders(condition);
    const response = await this.call({method, path, headers, body});
    if (response.status === 412)
      return decodeStoreResponse(response, readConflict);
    if (response.status === 200)
      return decodeStoreResponse(response, readWriteResult);
    throw createResponseError(response.status);
  }

  private async call(request: CallRequest): Promise<HttpResponse> {
    try {
      return await this.transport.send({
        timeoutMs: this.timeoutMs,
        ...request,
        address: this.address,
      });
    } catch (error) {
      if (!isTransportError(error)) throw error;
      const isUnsent = error.phase === 'beforeFirstByte';
      throw createObjectStoreError(`object API call failed: ${error.failure}`, {
        failure: STORE_FAILURE_BY_TRANSPORT_FAILURE[error.failure],
        execution: isUnsent ? 'notRun' : 'unknown',
        cause: error,
      });
    }
  }
}
