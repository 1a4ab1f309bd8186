/** Requests that a brittle server may be given at once, as last agreed on. */
export interface BrittleCapacity {
  /** Requests at once, of all hosts together, when it was last reduced. */
  readonly reducedTo: number;
  readonly reducedMs: number;
}

/** Input for the requests that this host may have at a brittle server. */
export interface BrittleShareRequest {
  /** Requests that the server runs at once. */
  readonly slots: number;
  /** Undefined if the server has rejected none yet. */
  readonly capacity: BrittleCapacity | undefined;
  /** Rank of this host for the server, see {@link rankHost}. */
  readonly rank: number;
  /** Number of hosts, this one included. */
  readonly hostCount: number;
}

/** Time in which the capacity of a server grows by one request. */
const GROWTH_MS = 5000;

/**
 * Computes how many requests this host may have at a brittle server. All hosts
 * together stay within its slots, so that none waits there; with more hosts than
 * slots each may have one. After a rejection fewer are allowed, and fewer hosts
 * send.
 *
 * @returns 0 if only other hosts send to the server.
 * @example
 * ```ts
 * computeBrittleShare({slots: 6, capacity: undefined, rank: 0, hostCount: 4}, nowMs); // 2
 * ```
 */
export function computeBrittleShare(
  {slots, capacity, rank, hostCount}: BrittleShareRequest,
  nowMs: number,
): number {
  const total = computeCapacity(capacity, Math.max(slots, hostCount), nowMs);
  return Math.floor(total / hostCount) + (rank < total % hostCount ? 1 : 0);
}

/** Returns the capacity after a rejection: half of what was allowed. */
export function reduceCapacity(
  capacity: BrittleCapacity | undefined,
  mostAtOnce: number,
  nowMs: number,
): BrittleCapacity {
  const before = computeCapacity(capacity, mostAtOnce, nowMs);
  return {reducedTo: Math.max(1, Math.floor(before / 2)), reducedMs: nowMs};
}

function computeCapacity(
  capacity: BrittleCapacity | undefined,
  mostAtOnce: number,
  nowMs: number,
): number {
  if (capacity === undefined) return mostAtOnce;
  const grown = Math.floor((nowMs - capacity.reducedMs) / GROWTH_MS);
  return Math.min(mostAtOnce, capacity.reducedTo + Math.max(0, grown));
}
