import type {ModelVersion} from '@anvilrudder/core';
import {createBackendError} from '../errors/backend_error.js';
import {
  HttpTransport,
  type HttpResponse,
  type HttpTransportOptions,
} from '../http/http_transport.js';
import {readAnswer, sendToBackend} from '../http/json_call.js';
import {
  parseJsonObject,
  readNumber,
  readObjects,
  readString,
  type JsonObject,
} from '../http/json.js';

/** An answer to be rated. */
export interface RatingRequest extends ModelVersion {
  readonly requestId: string;
  readonly kind: string;
  readonly answer: string;
}

/** Whether the service took an answer for rating. */
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

/** Ratings after a sequence number, and the number to go on from. */
export interface RatingPage {
  readonly ratings: readonly Rating[];
  readonly next: number;
}

/** Settings of the client of the rating service. */
export interface RatingClientOptions extends HttpTransportOptions {
  /** Default 2000. */
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

function createStatusFailure(status: number): Error {
  return createBackendError({phase: 'sent', failure: 'badAnswer', status});
}

function readRetryAfterMs(answer: HttpResponse): number {
  const body = parseJsonObject(answer.body) ?? {};
  return readNumber(body, 'retryAfterMs') ?? DEFAULT_RETRY_AFTER_MS;
}

/** A client of the service that rates answers. */
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

  /** Offers an answer for rating. */
  async rate(
    address: string,
    request: RatingRequest,
  ): Promise<RatingAcceptance> {
    const answer = await sendToBackend(this.transport, {
      address,
      method: 'POST',
      path: '/v1/ratings',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(request),
      timeoutMs: this.timeoutMs,
    });
    if (answer.status === 202) return {status: 'accepted'};
    if (answer.status !== 429) throw createStatusFailure(answer.status);
    return {status: 'limited', retryAfterMs: readRetryAfterMs(answer)};
  }

  /** Reads the ratings after a sequence number; malformed ones are left out. */
  async list(address: string, after: number): Promise<RatingPage> {
    const answer = await sendToBackend(this.transport, {
      address,
      method: 'GET',
      path: `/v1/ratings?after=${after}`,
      timeoutMs: this.timeoutMs,
    });
    if (answer.status !== 200) throw createStatusFailure(answer.status);
    return readAnswer(answer, readRatingPage);
  }

  /** Ends the open connections. */
  close(): Promise<void> {
    return this.transport.close();
  }
}
