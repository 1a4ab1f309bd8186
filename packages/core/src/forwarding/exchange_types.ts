/**
 * How often a backend server may run a request: `idempotent` ones any number
 * of times, `atMostOnce` ones once; a `stream` counts as `atMostOnce` unless
 * its route lets it be resumed.
 */
export type ExchangeKind = 'idempotent' | 'atMostOnce' | 'stream';

/** A part of a prompt that requests may share; parts stand in order. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a request for a generation says of its work. */
export interface GenerationDemand {
  /** Undefined when the router chooses among the models of the route. */
  readonly model: string | undefined;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The last part belongs to the request or its session alone. */
  readonly parts: readonly PromptPart[];
}

/** Where a route sends a part of its requests. */
export interface RouteDestination {
  readonly service: string;
  readonly weight: number;
}

/** Requests of one host name and path prefix, and how they are served. */
export interface ForwardRoute {
  readonly name: string;
  readonly hostName: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: ExchangeKind;
  /** A broken stream may be resumed at another backend server. */
  readonly isResumable: boolean;
  /** The longest time that a caller waits for the end of the answer. */
  readonly timeLimitMs: number;
  /** Time to the answer or to its first event that callers expect. */
  readonly latencyTargetMs: number;
  /** Longest pause between two events of a stream that callers expect. */
  readonly eventGapTargetMs: number | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Models that may answer, smallest first; empty when the caller names it. */
  readonly models: readonly string[];
  readonly destinations: readonly RouteDestination[];
  /** Backend servers that one request may be sent to. */
  readonly maxAttempts: number;
  /** No API key is needed. */
  readonly isPublic: boolean;
}

/** A model that a service offers. */
export interface ModelOffer {
  readonly name: string;
  /** Price of a thousand generated tokens; tokens read cost a quarter. */
  readonly cost: number;
}

/** Interchangeable backend servers. */
export interface ForwardService {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that each server accepts from all hosts together. */
  readonly maxConnections: number;
  /** Requests that each server runs at once; undefined for plain services. */
  readonly engineSlots: number | undefined;
  /** Tokens that the memory of each server holds. */
  readonly kvCacheTokens: number | undefined;
  readonly models: readonly ModelOffer[];
}

/** An organisation and the keys that its callers show. */
export interface ForwardOrganisation {
  readonly name: string;
  readonly callerKeys: readonly string[];
  /** Takes precedence over the priority of a route. */
  readonly priority: number | undefined;
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of everything that operators declare; never changed. */
export interface RoutingSnapshot {
  readonly version: number;
  readonly routes: readonly ForwardRoute[];
  readonly services: readonly ForwardService[];
  /** Empty when callers need no key. */
  readonly organisations: readonly ForwardOrganisation[];
  readonly limits: CallerLimits;
}

/** A backend server as it registered itself. */
export interface RegisteredServer {
  readonly id: string;
  readonly service: string;
  /** `ip:port`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly softwareVersion: string;
  /** Requests that it runs at once. */
  readonly slots: number;
  /** It finishes its requests and takes no new ones. */
  readonly isLeaving: boolean;
}
