/**
 * How often a backend server may run a request: `idempotent` ones any number
 * of times, `atMostOnce` ones once; a `stream` counts as `atMostOnce` unless
 * its route lets it be resumed.
 */
export type ExchangeKind = 'idempotent' | 'atMostOnce' | 'stream';

/**
 * A part of a prompt that several requests may share; a prompt is an ordered
 * list of parts.
 */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** The work that a generation request asks for. */
export interface GenerationDemand {
  /** Undefined when the router chooses among the models of the route. */
  readonly model: string | undefined;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The last part is specific to the request or its session. */
  readonly parts: readonly PromptPart[];
}

/** A service to which a route sends a share of its requests, by weight. */
export interface RouteDestination {
  readonly service: string;
  readonly weight: number;
}

/** How requests for one host name and path prefix are served. */
export interface ForwardRoute {
  readonly name: string;
  readonly hostName: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: ExchangeKind;
  /** A broken stream may be resumed at another backend server. */
  readonly isResumable: boolean;
  /** Maximum time until the end of the answer. */
  readonly timeLimitMs: number;
  /** Target for the time to the answer, or to its first event. */
  readonly latencyTargetMs: number;
  /** Target for the longest gap between two events of a stream. */
  readonly eventGapTargetMs: number | undefined;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Models that may answer, smallest first; empty if callers name a model. */
  readonly models: readonly string[];
  readonly destinations: readonly RouteDestination[];
  /** Maximum number of backend servers that one request is sent to. */
  readonly maxAttempts: number;
  /** True when no API key is required. */
  readonly isPublic: boolean;
  /** Regions that its requests must not leave; undefined if they may. */
  readonly allowedRegions?: readonly string[];
}

/** A model that a service offers. */
export interface ModelOffer {
  readonly name: string;
  /** Price of 1000 output tokens; prompt tokens cost a quarter of it. */
  readonly cost: number;
}

/** A group of interchangeable backend servers. */
export interface ForwardService {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that each server accepts from all hosts together. */
  readonly maxConnections: number;
  /**
   * Requests that each server runs concurrently; undefined for plain services,
   * which run no model.
   */
  readonly engineSlots: number | undefined;
  /** Capacity of the KV cache of each server, in tokens. */
  readonly kvCacheTokens: number | undefined;
  readonly models: readonly ModelOffer[];
  /**
   * Time for which a server is cold that starts during traffic; missing if its
   * servers are never cold, NaN if it can't be read.
   */
  readonly coldStartMs?: number;
  /**
   * Requests a second that a cold server tolerates from all hosts together; NaN if
   * it can't be read.
   */
  readonly coldRequestsPerS?: number;
}

/** An organisation and the API keys of its callers. */
export interface ForwardOrganisation {
  readonly name: string;
  readonly callerKeys: readonly string[];
  /** Takes precedence over the priority of a route. */
  readonly priority: number | undefined;
  /** Regions that its requests must not leave; undefined if they may. */
  readonly allowedRegions?: readonly string[];
}

/** Size and time limits for requests of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the declared routing configuration; immutable. */
export interface RoutingSnapshot {
  readonly version: number;
  readonly routes: readonly ForwardRoute[];
  readonly services: readonly ForwardService[];
  /** Empty when callers need no API key. */
  readonly organisations: readonly ForwardOrganisation[];
  readonly limits: CallerLimits;
}

/** A backend server, as it registered itself. */
export interface RegisteredServer {
  readonly id: string;
  readonly service: string;
  /** `ip:port`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly softwareVersion: string;
  /** Number of requests that it runs concurrently. */
  readonly slots: number;
  /** True when it finishes its requests and accepts no new ones. */
  readonly isLeaving: boolean;
  /**
   * Start of this run of the server by its own clock, in Unix milliseconds. It
   * distinguishes the runs of a server that keeps its id.
   */
  readonly startedAtMs?: number;
  /**
   * Time for which the server is still cold, from the arrival of the registration;
   * 0 if it is warm, NaN if it can't be read.
   */
  readonly coldMs?: number;
  /** Store version of the registration; distinguishes a change from a repeated delivery. */
  readonly registrationVersion?: number;
}
