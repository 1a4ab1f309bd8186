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
import {verifyAnswer} from './verify_answer.js';

const EXECUTIONS: readonly string[] = ['notRun', 'unknown', 'ran'];

/** Reads the JSON body of an entry's error. */
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

/** Gathers the events of one answer of an entry and judges it at its end. */
export class EntryAnswer {
  /** Undefined until the last event. */
  outcome: Outcome | undefined;
  /** The session that the answer opened. */
  session: OpenSession | undefined;
  private readonly texts: string[] = [];
  private isInOrder = true;
  /** The id that the entry gave the request. */
  private requestId: string | undefined;

  private constructor(
    private readonly request: PlannedGeneration,
    private readonly usedSession: OpenSession | undefined,
    private readonly observer: RequestObserver,
  ) {}

  static create(
    request: PlannedGeneration,
    usedSession: OpenSession | undefined,
    observer: RequestObserver,
  ): EntryAnswer {
    return new EntryAnswer(request, usedSession, observer);
  }

  /** Tokens received so far. */
  get tokenCount(): number {
    return this.texts.length;
  }

  accept(event: ServerSentEvent): void {
    if (event.name === 'start') this.acceptStart(event.data);
    if (event.name === 'token') this.acceptToken(event.data);
    if (event.name === 'done') this.acceptDone(event.data);
    if (event.name !== 'error') return;
    this.outcome = readErrorOutcome(
      event.data,
      'malformed_error',
      this.tokenCount,
    );
  }

  private acceptStart(data: string): void {
    const body = parseJsonObject(data) ?? {};
    this.requestId = readString(body, 'requestId');
  }

  private acceptToken(data: string): void {
    this.observer.onToken();
    const body = parseJsonObject(data) ?? {};
    this.isInOrder &&= readNumber(body, 'index') === this.texts.length;
    this.texts.push(readString(body, 'text') ?? '');
  }

  private acceptDone(data: string): void {
    const body = parseJsonObject(data) ?? {};
    const model = readString(body, 'model') ?? '';
    const version = readString(body, 'version') ?? '';
    const token = readString(body, 'session');
    if (token !== undefined) this.session = {token, model, version};
    this.outcome = {
      code: 'ok',
      execution: 'ran',
      verdict: this.judge(body, model, version),
      modelVersion: `${model}@${version}`,
      tokenCount: this.tokenCount,
    };
  }

  private judge(
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
    const used = this.usedSession;
    const hasMoved =
      used !== undefined && (used.model !== model || used.version !== version);
    if (hasMoved) return 'sessionMoved';
    const source = {requestId: engineRequestId, prompt, model, version};
    return verifyAnswer(source, maxTokens, this.texts);
  }
}
