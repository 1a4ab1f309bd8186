import type {ServerPace} from '../../scheduling/server_pace.js';
import type {RegisteredServer} from '../exchange_types.js';
import type {PrefixCacheEstimate} from './prefix_cache_estimate.js';
import type {ServerAvailability} from './server_availability.js';
import type {ServerHealth} from './server_health.js';

/** State of one server, as known to this host. */
export interface ServerRecord {
  readonly server: RegisteredServer;
  /** Hash of the id of the server. */
  readonly idHash: number;
  readonly health: ServerHealth;
  readonly availability: ServerAvailability;
  /** When an answer last came from the server; -Infinity before the first. */
  readonly answeredMs: number;
  /** Requests in flight from this host. */
  readonly inFlight: number;
  /** Work of this host's requests that the server has not begun to answer. */
  readonly unansweredWorkMs: number;
  /** Estimated end of the work that all hosts have sent to the server. */
  readonly backlogEndMs: number;
  /** Estimated running requests of other hosts at `remoteUpdatedMs`. */
  readonly remoteRequestCount: number;
  /** Time of the last notification of another host. */
  readonly remoteUpdatedMs: number;
  /** Prompt parts that are probably in the server's KV cache. */
  readonly prefixCache: PrefixCacheEstimate;
  /** Undefined while nothing is known about it. */
  readonly pace: ServerPace | undefined;
}

/** Returns 1 for a server of mean pace, 2 for one that takes twice as long. */
export function estimatePace({pace}: ServerRecord, nowMs: number): number {
  return pace === undefined ? 1 : pace.estimate(nowMs);
}
