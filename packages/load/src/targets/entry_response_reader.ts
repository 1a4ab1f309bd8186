import type {Execution} from '@anvilrudder/core';
import {
  isJsonObject,
  parseJsonObject,
  readNumber,
  readString,
  type JsonObject,
  type ServerSentEvent,
} from '@anvilrudder/clients';
import type {OpenSession} from '../workload/session_pool.js';
import type {PlannedGeneration} from '../workload/workload.js';
import type {Outcome, RequestObserver} from './target.js';
import {verifyResponse} from './verify_response.js';

const EXECUTIONS: readonly string[] = ['notRun', 'unknown', 'ran'];

/**
 * Reads an error of an entry from its JSON text. Without a code in the text the
 * outcome has `fallbackCode`, without a valid execution state `unknown`.
 */
export function readErrorOutcome(
  text: string,
  fallbackCode: string,
  tokenCount: number,
): Outcome {
  const body = parseJsonObject(text)?.error;
  const error: JsonObject = isJsonObject(body) ? body : {};
  const execution = readString(error, 'execution') ?? 'unknown';
  return {
    code: readString(error, 'code') ?? fallbackCode,
    execution: (EXECUTIONS.includes(execution)
      ? execution
      : 'unknown') as Execution,
    tokenCount,
  };
}

/**
 * Reads the event stream of one response of an entry and determines the verdict
 * on its `done` event.
 */
export class EntryResponseReader {
  /** Undefined until a `done` or `error` event. */
  outcome: Outcome | undefined;
  /** The session that the response issued a token for, if any. */
  session: OpenSession | undefined;
  private readonly texts: string[] = [];
  private isInOrder = true;
  /** The id that the entry assigned to the request. */
  private requestId: string | undefined;

  private constructor(
    private readonly request: PlannedGeneration,
    private readonly continuedSession: OpenSession | undefined,
    private readonly observer: RequestObserver,
  ) {}

  static create(
    request: PlannedGeneration,
    continuedSession: OpenSession | undefined,
    observer: RequestObserver,
  ): EntryResponseReader {
    return new EntryResponseReader(request, continuedSession, observer);
  }

  /** Number of tokens received so far. */
  get tokenCount(): number {
    return this.texts.length;
  }

  handleEvent(event: ServerSentEvent): void {
    if (event.name === 'start') this.handleStart(event.data);
    if (event.name === 'token') this.handleToken(event.data);
    if (event.name === 'done') this.handleDone(event.data);
    if (event.name !== 'error') return;
    this.outcome = readErrorOutcome(
      event.data,
      'malformed_error',
      this.tokenCount,
    );
  }

  private handleStart(data: string): void {
    const body = parseJsonObject(data) ?? {};
    this.requestId = readString(body, 'requestId');
  }

  private handleToken(data: string): void {
    this.observer.onToken();
    const body = parseJsonObject(data) ?? {};
    this.isInOrder &&= readNumber(body, 'index') === this.texts.length;
    this.texts.push(readString(body, 'text') ?? '');
  }

  private handleDone(data: string): void {
    const body = parseJsonObject(data) ?? {};
    const model = readString(body, 'model') ?? '';
    const version = readString(body, 'version') ?? '';
    const token = readString(body, 'session');
    if (token !== undefined) this.session = {token, model, version};
    this.outcome = {
      code: 'ok',
      execution: 'ran',
      verdict: this.determineVerdict(body, model, version),
      modelVersion: `${model}@${version}`,
      tokenCount: this.tokenCount,
    };
  }

  private determineVerdict(
    body: JsonObject,
    model: string,
    version: string,
  ): Outcome['verdict'] {
    const {prompt, maxTokens} = this.request;
    const {requestId} = this;
    if (requestId === undefined) return 'foreign';
    if (readString(body, 'requestId') !== requestId) return 'foreign';
    const engineRequestId = readString(body, 'engineRequestId') ?? requestId;
    if (!engineRequestId.startsWith(requestId)) return 'foreign';
    if (!this.isInOrder) return 'incomplete';
    if (readNumber(body, 'tokenCount') !== this.tokenCount) return 'incomplete';
    const continued = this.continuedSession;
    const hasSessionMoved =
      continued !== undefined &&
      (continued.model !== model || continued.version !== version);
    if (hasSessionMoved) return 'sessionMoved';
    const source = {requestId: engineRequestId, prompt, model, version};
    return verifyResponse(source, maxTokens, this.texts);
  }
}
