import type {ListenOptions, StandIn} from '../http/http_server.js';
import type {EnginePriority} from './slot_queue.js';

/** One version of one model. */
export interface LoadedModel {
  readonly model: string;
  readonly version: string;
}

/** Settings of the engine stand-in. */
export interface EngineStandInOptions extends ListenOptions {
  /** Requests generated at a time. Default 8. */
  readonly slots?: number;
  /** Requests that may wait for a slot. Default 64. */
  readonly queueLimit?: number;
  /** Time between two tokens of a request. Default 0. */
  readonly tokenDelayMs?: number;
  /** Time before the first token of a prompt without cached prefix. Default 0. */
  readonly prefillDelayMs?: number;
  /** Models loaded at the start. Default none. */
  readonly loaded?: readonly LoadedModel[];
  /** Time that an ordered model takes to load. Default 0. */
  readonly modelLoadMs?: number;
  /** Applies orders whatever their fencing number. Default false. */
  readonly ignoreFencing?: boolean;
  /** Interval at which the load report is renewed; 0 is always fresh. Default 0. */
  readonly loadLagMs?: number;
  /** Prefix blocks held in the cache. Default 1024. */
  readonly cacheEntries?: number;
  /** Age at which cache events become visible. Default 0. */
  readonly cacheEventLagMs?: number;
  /** Every n-th cache event is lost; 0 loses none. Default 0. */
  readonly cacheEventLossEvery?: number;
  /**
   * Mean of the engine's own estimate of its answers by `model@version`; a
   * version that is not named gives none. Default none.
   */
  readonly confidence?: Readonly<Record<string, number>>;
}

/** Faults of the engine. */
export interface EngineFaults {
  /** Cuts the connection of a stream after n tokens. */
  readonly cutAfterTokens: number | null;
  /** Number of streams that `cutAfterTokens` cuts. */
  readonly cutCount: number | null;
  /** Sends each token twice. */
  readonly duplicateTokens: boolean;
  /** Leaves out the token with this index. */
  readonly skipToken: number | null;
  /** Replaces the time between tokens. */
  readonly tokenDelayMs: number | null;
  /** Share of requests that end with an error event after half their tokens. */
  readonly failRate: number;
  /** Accepts connections and answers nothing. */
  readonly isHung: boolean;
  /** The next n requests are refused as full. */
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
  /** Time that the request may wait for its first token. */
  readonly deadlineMs: number;
  readonly resumeFromToken?: number;
}

/** The state that an order asks for. */
export interface OrderBody {
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

/** What an engine did since it started. */
export interface EngineCounters {
  /** Generations started by request id, resumed ones apart. */
  readonly executions: Readonly<Record<string, number>>;
  readonly resumes: Readonly<Record<string, number>>;
  readonly executionsByVersion: Readonly<Record<string, number>>;
  readonly tokens: number;
  readonly refused: number;
  readonly cancelled: number;
  readonly ordersApplied: number;
  readonly ordersRefused: number;
}

/** A running engine stand-in. */
export interface EngineStandIn extends StandIn {
  setFaults(faults: Partial<EngineFaults>): void;
  counters(): EngineCounters;
  load(): LoadReport;
}

/** Settings with every default filled in. */
export type ResolvedEngineOptions = Required<
  Omit<EngineStandInOptions, keyof ListenOptions>
>;

/** Fills in the defaults of the engine's settings. */
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

/** An engine without faults. */
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
