import type {ModelVersion} from '@anvilrudder/core';
import {createBackendError} from '../errors/backend_error.js';
import {
  HttpTransport,
  type HttpResponse,
  type HttpTransportOptions,
} from '../http/http_transport.js';
import {decodeJsonResponse, sendToBackend} from '../http/backend_call.js';
import {
  parseJsonObject,
  readNumber,
  readObjects,
  readString,
  type JsonObject,
} from '../http/json.js';

/** A model answer to be rated. */
export interface RatingRequest extends ModelVersion {
  readonly requestId: string;
  readonly kind: string;
  readonly answer: string;
}

/** Whether the rating service accepted an answer or was over its rate limit. */
export type RatingAcceptance =
  | {readonly status: 'accepted'}
  | {readonly status: 'limited'; readonly retryAfterMs: number};

/** One rated answer. */
export interface Rating extends ModelVersion {
  readonly sequence: number;
  readonly requestId: string;
  readonly kind: string;
  /** Between 0 and 1. */
  readonly score: number;
}

/** A page of ratings; `next` is the `after` of the next page. */
export interface RatingPage {
  readonly ratings: readonly Rating[];
  readonly next: number;
}

/** Options of {@link RatingClient}. */
export interface RatingClientOptions extends HttpTransportOptions {
  /** Timeout of a call in milliseconds. Default 2000. */
  readonly timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 2000;
const DEFAULT_RETRY_AFTER_MS = 1000;

function readRating(body: JsonObject): readonly Rating[] {
  const sequence = readNumber(body, 'sequence');
  const score = readNumber(body, 'score');
  const [requestId, kind, model, version] = [
    readString(body, 'requestId'),
    readString(body, 'kind'),
    readString(body, 'model'),
    readString(body, 'version'),
  ];
  if (sequence === undefined || score === undefined) return [];
  if (requestId === undefined || kind === undefined) return [];
  if (model === undefined || version === undefined) return [];
  return [{sequence, requestId, kind, model, version, score}];
}

function readRatingPage(body: JsonObject): RatingPage | undefined {
  const ratings = readObjects(body, 'ratings')?.flatMap(readRating);
  const next = readNumber(body, 'next');
  if (ratings === undefined || next === undefined) return undefined;
  return {ratings, next};
}

function createUnexpectedStatusError(status: number): Error {
  return createBackendError({phase: 'sent', failure: 'badAnswer', status});
}

function readRetryAfterMs(response: HttpResponse): number {
  const body = parseJsonObject(response.body) ?? {};
  return readNumber(body, 'retryAfterMs') ?? DEFAULT_RETRY_AFTER_MS;
}

/** HTTP client of the service that rates model answers. */
export class RatingClient {
  private constructor(
    private readonly transport: HttpTransport,
    private readonly timeoutMs: number,
  ) {}

  /**
   * @example
   * ```ts
   * const ratings = RatingClient.create();
   * const page = await ratings.list('127.0.0.1:9200', 0);
   * ```
   */
  static create(options: RatingClientOptions = {}): RatingClient {
    const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    return new RatingClient(HttpTransport.create(options), timeoutMs);
  }

  /**
   * Submits an answer for rating.
   *
   * @throws BackendError when the call fails or the status is unexpected.
   */
  async rate(
    address: string,
    request: RatingRequest,
  ): Promise<RatingAcceptance> {
    const response = await sendToBackend(this.transport, {
      address,
      method: 'POST',
      path: '/v1/ratings',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(request),
      timeoutMs: this.timeoutMs,
    });
    if (response.status === 202) return {status: 'accepted'};
    if (response.status !== 429)
      throw createUnexpectedStatusError(response.status);
    return {status: 'limited', retryAfterMs: readRetryAfterMs(response)};
  }

  /**
   * Reads the ratings after a sequence number. Malformed ratings are omitted.
   *
   * @throws BackendError when no valid response was received.
   */
  async list(address: string, after: number): Promise<RatingPage> {
    const response = await sendToBackend(this.transport, {
      address,
      method: 'GET',
      path: `/v1/ratings?after=${after}`,
      timeoutMs: this.timeoutMs,
    });
    if (response.status !== 200)
      throw createUnexpectedStatusError(response.status);
    return decodeJsonResponse(response, readRatingPage);
  }

  /** Closes all connections; requests in progress fail. */
  close(): Promise<void> {
    return this.transport.close();
  }
}
