import type {ModelVersion, Priority} from '@anvilrudder/core';

/** A request to generate tokens. */
export interface GenerateRequest extends ModelVersion {
  readonly requestId: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly priority: Priority;
  /** Maximum time in milliseconds until the first token. */
  readonly deadlineMs: number;
  /** Index of the first token to send; default 0. */
  readonly resumeFromToken?: number;
}

/** Options of {@link EngineClient.generate}. */
export interface GenerateOptions {
  readonly signal?: AbortSignal;
  /**
   * Timeout in milliseconds for the response headers. Defaults to the option of
   * the client.
   */
  readonly firstByteTimeoutMs?: number;
  /**
   * Maximum time in milliseconds between two chunks of the response. Defaults
   * to the option of the client.
   */
  readonly idleTimeoutMs?: number;
  /**
   * Called synchronously right before the first byte is written. If it returns
   * false, nothing is written.
   */
  readonly confirmSend?: () => boolean;
}

/** A token; tokens are reported in order and without duplicates. */
export interface TokenEvent {
  readonly kind: 'token';
  readonly index: number;
  readonly text: string;
}

/** The end of a complete answer. */
export interface DoneEvent {
  readonly kind: 'done';
  /** Tokens of the complete answer, including those before a resumption. */
  readonly tokenCount: number;
  readonly promptTokens: number;
  readonly cachedPromptTokens: number;
  /** The engine's confidence in its answer, from 0 to 1, if reported. */
  readonly confidence?: number;
}

/** An event in the response stream of an engine. */
export type EngineEvent = TokenEvent | DoneEvent;

/** Load report of an engine; `reportAgeMs` is its age when it was read. */
export interface EngineLoad {
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  readonly loaded: readonly ModelVersion[];
  readonly cachedPrefixes: number;
  readonly isDraining: boolean;
  readonly reportAgeMs: number;
}

/** A change to an engine's prefix cache. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  readonly prefixHash: string;
}

/** A page of cache events; `next` is the `after` of the next page. */
export interface CacheEventPage {
  readonly events: readonly CacheEvent[];
  readonly next: number;
}

/** Desired state of an engine. Orders are idempotent. */
export interface EngineOrder {
  readonly fencing: number;
  readonly orderId: string;
  readonly wanted: {
    readonly loaded: readonly ModelVersion[];
    readonly isDraining: boolean;
  };
}

/**
 * Whether an order was applied. An engine that has seen a higher fencing number
 * rejects it with `oldFencing`.
 */
export type OrderResult =
  | {readonly status: 'applied'}
  | {readonly status: 'oldFencing'; readonly currentFencing: number};

/** Client of model engines. Addresses are `ip:port`. */
export interface EngineClient {
  /**
   * Streams one answer. Ending the iteration early aborts the request. While
   * the iteration waits for the next event, only the signal can abort it.
   *
   * @throws BackendError during the iteration, when the answer is incomplete.
   */
  generate(
    address: string,
    request: GenerateRequest,
    options?: GenerateOptions,
  ): AsyncGenerator<EngineEvent, void, undefined>;
  /** Cancels a request; resolves to true if it was running or queued. */
  cancel(address: string, requestId: string): Promise<boolean>;
  load(address: string): Promise<EngineLoad>;
  cacheEvents(address: string, after: number): Promise<CacheEventPage>;
  order(address: string, order: EngineOrder): Promise<OrderResult>;
}
