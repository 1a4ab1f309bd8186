import type {ListenOptions, StandIn} from '../http/http_server.js';
import type {EnginePriority} from './slot_queue.js';

/** One version of one model. */
export interface LoadedModel {
  readonly model: string;
  readonly version: string;
}

/** Settings of the engine stand-in. */
export interface EngineStandInOptions extends ListenOptions {
  /** Number of requests generated concurrently. Default 8. */
  readonly slots?: number;
  /** Maximum number of requests waiting for a slot. Default 64. */
  readonly queueLimit?: number;
  /** Time between two tokens of a request. Default 0. */
  readonly tokenDelayMs?: number;
  /** Prefill time of a prompt without a cached prefix. Default 0. */
  readonly prefillDelayMs?: number;
  /** Model versions loaded at start-up. Default none. */
  readonly loaded?: readonly LoadedModel[];
  /** Time to load the model versions of an order. Default 0. */
  readonly modelLoadMs?: number;
  /** Applies orders with an old fencing number too. Default false. */
  readonly ignoreFencing?: boolean;
  /**
   * Refresh interval of the load report; 0 refreshes it at each read.
   * Default 0.
   */
  readonly loadLagMs?: number;
  /** Maximum number of prefix blocks in the cache. Default 1024. */
  readonly cacheEntries?: number;
  /** Age at which cache events become visible. Default 0. */
  readonly cacheEventLagMs?: number;
  /** Every n-th cache event is lost; 0 loses none. Default 0. */
  readonly cacheEventLossEvery?: number;
  /**
   * Mean confidence that the engine reports for its answers, by
   * `model@version`. Versions that are not listed report none. Default none.
   */
  readonly confidence?: Readonly<Record<string, number>>;
}

/** Faults to inject into the engine. */
export interface EngineFaults {
  /** Cuts the connection of a stream after n tokens. */
  readonly cutAfterTokens: number | null;
  /** Number of streams that `cutAfterTokens` cuts; null cuts all of them. */
  readonly cutCount: number | null;
  /** Sends each token twice. */
  readonly duplicateTokens: boolean;
  /** Omits the token with this index. */
  readonly skipToken: number | null;
  /** Overrides the time between two tokens. */
  readonly tokenDelayMs: number | null;
  /** Share of requests that end with an error event after half their tokens. */
  readonly failRate: number;
  /**
   * Accepts connections, but sends no response to generations and reads of the
   * load report.
   */
  readonly isHung: boolean;
  /** The next n requests are refused with 429 `full`. */
  readonly refuse: number;
}

/** A request to generate tokens. */
export interface GenerateBody {
  readonly requestId: string;
  readonly model: string;
  readonly version: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly priority: EnginePriority;
  /** Maximum time in the queue; 0 sets no limit. */
  readonly deadlineMs: number;
  readonly resumeFromToken?: number;
}

/** An order to change which models are loaded, or to drain the engine. */
export interface OrderBody {
  /** Orders with a lower number than the highest seen are refused. */
  readonly fencing: number;
  readonly orderId: string;
  readonly wanted: {
    readonly loaded: readonly LoadedModel[];
    readonly isDraining: boolean;
  };
}

/** Load report of an engine. */
export interface LoadReport {
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  readonly loaded: readonly LoadedModel[];
  readonly cachedPrefixes: number;
  readonly isDraining: boolean;
  readonly reportAgeMs: number;
}

/** Counters of an engine since its start. */
export interface EngineCounters {
  /** Generations started by request id, without the resumed ones. */
  readonly executions: Readonly<Record<string, number>>;
  /** Resumed generations by request id. */
  readonly resumes: Readonly<Record<string, number>>;
  /** Generations started by `model@version`, with the resumed ones. */
  readonly executionsByVersion: Readonly<Record<string, number>>;
  readonly tokens: number;
  readonly refused: number;
  readonly cancelled: number;
  readonly ordersApplied: number;
  readonly ordersRefused: number;
}

/** A running engine stand-in. */
export interface EngineStandIn extends StandIn {
  /** Changes the given faults and leaves the others as they are. */
  setFaults(faults: Partial<EngineFaults>): void;
  counters(): EngineCounters;
  load(): LoadReport;
}

/** Settings of the engine stand-in with defaults applied. */
export type ResolvedEngineOptions = Required<
  Omit<EngineStandInOptions, keyof ListenOptions>
>;

/** Applies the defaults of the engine stand-in's settings. */
export function resolveEngineOptions(
  options: EngineStandInOptions,
): ResolvedEngineOptions {
  return {
    slots: options.slots ?? 8,
    queueLimit: options.queueLimit ?? 64,
    tokenDelayMs: options.tokenDelayMs ?? 0,
    prefillDelayMs: options.prefillDelayMs ?? 0,
    loaded: options.loaded ?? [],
    modelLoadMs: options.modelLoadMs ?? 0,
    ignoreFencing: options.ignoreFencing ?? false,
    loadLagMs: options.loadLagMs ?? 0,
    cacheEntries: options.cacheEntries ?? 1024,
    cacheEventLagMs: options.cacheEventLagMs ?? 0,
    cacheEventLossEvery: options.cacheEventLossEvery ?? 0,
    confidence: options.confidence ?? {},
  };
}

/** The state in which no fault is injected. */
export const NO_ENGINE_FAULTS: EngineFaults = {
  cutAfterTokens: null,
  cutCount: null,
  duplicateTokens: false,
  skipToken: null,
  tokenDelayMs: null,
  failRate: 0,
  isHung: false,
  refuse: 0,
};
