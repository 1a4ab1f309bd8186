import {parseJsonObject, readNumber, readString} from '../http/json.js';
import type {ServerSentEvent} from '../utils/sse_parser.js';
import type {EngineEvent} from './engine_types.js';

/** Result of checking one event of a stream. */
export type SequenceResult =
  | {readonly kind: 'event'; readonly event: EngineEvent}
  | {readonly kind: 'skip'}
  | {readonly kind: 'incomplete'}
  | {readonly kind: 'badAnswer'}
  | {readonly kind: 'failed'; readonly code: string};

type EventHandler = (data: string, sequence: TokenSequence) => SequenceResult;

const SKIP: SequenceResult = {kind: 'skip'};
const INCOMPLETE: SequenceResult = {kind: 'incomplete'};
const BAD_ANSWER: SequenceResult = {kind: 'badAnswer'};

const HANDLER_BY_EVENT_NAME: Readonly<Record<string, EventHandler>> = {
  token: (data, sequence) => sequence.acceptToken(data),
  done: (data, sequence) => sequence.acceptDone(data),
  error: data => {
    const body = parseJsonObject(data);
    const code = (body && readString(body, 'code')) ?? 'failed';
    return {kind: 'failed', code};
  },
};

/**
 * Checks that the tokens of a stream are in order. A duplicate token is
 * skipped; a missing token makes the answer incomplete.
 */
export class TokenSequence {
  private nextIndex: number;

  private constructor(firstIndex: number) {
    this.nextIndex = firstIndex;
  }

  static create(firstIndex: number): TokenSequence {
    return new TokenSequence(firstIndex);
  }

  /** Number of accepted tokens, including those before the first index. */
  get count(): number {
    return this.nextIndex;
  }

  /** Classifies the next event of the stream. */
  accept(event: ServerSentEvent): SequenceResult {
    return HANDLER_BY_EVENT_NAME[event.name]?.(event.data, this) ?? SKIP;
  }

  acceptToken(data: string): SequenceResult {
    const body = parseJsonObject(data);
    const index = body && readNumber(body, 'index');
    const text = body && readString(body, 'text');
    if (index === undefined || text === undefined) return BAD_ANSWER;
    if (index < this.nextIndex) return SKIP;
    if (index > this.nextIndex) return INCOMPLETE;
    this.nextIndex += 1;
    return {kind: 'event', event: {kind: 'token', index, text}};
  }

  acceptDone(data: string): SequenceResult {
    const body = parseJsonObject(data);
    const tokenCount = body && readNumber(body, 'tokenCount');
    if (body === undefined || tokenCount === undefined) return BAD_ANSWER;
    if (tokenCount !== this.nextIndex) return INCOMPLETE;
    const promptTokens = readNumber(body, 'promptTokens') ?? 0;
    const cachedPromptTokens = readNumber(body, 'cachedPromptTokens') ?? 0;
    const confidence = readNumber(body, 'confidence');
    const counts = {
      tokenCount,
      promptTokens,
      cachedPromptTokens,
      confidence,
    };
    return {kind: 'event', event: {kind: 'done', ...counts}};
  }
}
