import type {ModelVersion, Priority} from '@anvilrudder/core';

/** A request to generate tokens. */
export interface GenerateRequest extends ModelVersion {
  readonly requestId: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly priority: Priority;
  /** Time that the request may wait for its first token. */
  readonly deadlineMs: number;
  /** Index of the first token to send; default 0. */
  readonly resumeFromToken?: number;
}

/** Limits of one generation, and the check before it is written. */
export interface GenerateOptions {
  readonly signal?: AbortSignal;
  /** Time until the engine's answer begins. Default: the client's. */
  readonly firstByteTimeoutMs?: number;
  /** Time between two pieces of the answer. Default: the client's. */
  readonly idleTimeoutMs?: number;
  /**
   * Called in the turn of the event loop that writes the first byte; when it
   * returns false nothing is written.
   */
  readonly confirmSend?: () => boolean;
}

/** One token, in order and without repeats. */
export interface TokenEvent {
  readonly kind: 'token';
  readonly index: number;
  readonly text: string;
}

/** The end of a whole answer. */
export interface DoneEvent {
  readonly kind: 'done';
  /** Tokens of the whole answer, those before a resume included. */
  readonly tokenCount: number;
  readonly promptTokens: number;
  readonly cachedPromptTokens: number;
  /** The engine's own estimate of its answer between 0 and 1, if it gives one. */
  readonly confidence?: number;
}

/** What an engine streams. */
export type EngineEvent = TokenEvent | DoneEvent;

/** Load report of an engine, `reportAgeMs` old when it was read. */
export interface EngineLoad {
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  readonly loaded: readonly ModelVersion[];
  readonly cachedPrefixes: number;
  readonly isDraining: boolean;
  readonly reportAgeMs: number;
}

/** A change of an engine's prefix cache. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  readonly prefixHash: string;
}

/** Cache events and the sequence number to go on from. */
export interface CacheEventPage {
  readonly events: readonly CacheEvent[];
  readonly next: number;
}

/** The state that an order asks for; repeating an order is harmless. */
export interface EngineOrder {
  readonly fencing: number;
  readonly orderId: string;
  readonly wanted: {
    readonly loaded: readonly ModelVersion[];
    readonly isDraining: boolean;
  };
}

/** Whether an order was applied; a newer fencing number refuses it. */
export type OrderResult =
  | {readonly status: 'applied'}
  | {readonly status: 'oldFencing'; readonly currentFencing: number};

/** A client of model engines; addresses are `ip:port`. */
export interface EngineClient {
  /**
   * Streams one answer. The iteration throws a BackendError when the answer
   * is not whole. Leaving the iteration ends the request; while it waits for
   * the next event, only the signal does.
   */
  generate(
    address: string,
    request: GenerateRequest,
    options?: GenerateOptions,
  ): AsyncGenerator<EngineEvent, void, undefined>;
  /** True when the request was running or queued. */
  cancel(address: string, requestId: string): Promise<boolean>;
  load(address: string): Promise<EngineLoad>;
  cacheEvents(address: string, after: number): Promise<CacheEventPage>;
  order(address: string, order: EngineOrder): Promise<OrderResult>;
}
