import {createHash} from 'node:crypto';
import type {MemberId} from '../types/identity.js';

/** The object that stands for one duty. It is never deleted. */
export interface Lease {
  /** Undefined after a release. */
  readonly holder: MemberId | undefined;
  /** Grows with each grant; orders carry it, so that engines refuse old ones. */
  readonly fencing: number;
  /** Unique to one write. */
  readonly stamp: string;
}

/** Durations of a lease; the same on every entry. */
export interface LeaseSettings {
  /** How long a grant or renewal lasts. */
  readonly leaseMs: number;
  /** How much earlier the holder stops, for the drift of clocks. */
  readonly marginMs: number;
}

/** A lease that this process may act under until `validUntilMs`. */
export interface HeldLease {
  readonly lease: Lease;
  readonly version: number;
  /** On the monotonic clock of this process. */
  readonly validUntilMs: number;
}

/** A version of the lease object, and when this process first saw it. */
export interface SeenLease {
  readonly version: number;
  readonly seenAtMs: number;
}

/** What one process knows of one lease. */
export interface LeaseState {
  readonly held: HeldLease | undefined;
  readonly seen: SeenLease | undefined;
}

/** Nothing is known of the lease yet. */
export const INITIAL_LEASE_STATE: LeaseState = {
  held: undefined,
  seen: undefined,
};

/** Object key of the lease of a duty. */
export function resolveLeaseKey(duty: string): string {
  return `leases/${duty}`;
}

/** Parses a lease; text that is not JSON throws. */
export function parseLease(text: string): Lease {
  return JSON.parse(text) as Lease;
}

/**
 * Chooses the hosts that try for a duty, by rendezvous hashing, so that the
 * calls for a lease don't grow with the number of hosts. Hosts that see
 * different lists may differ; the lease decides.
 *
 * @example
 * ```ts
 * resolveCandidates('billing-3', hosts, 3).includes(ownHost);
 * ```
 */
export function resolveCandidates(
  duty: string,
  hosts: readonly string[],
  count: number,
): readonly string[] {
  return hosts
    .map(host => ({host, weight: hashPair(duty, host)}))
    .sort((a, b) => (a.weight < b.weight ? -1 : 1))
    .slice(0, count)
    .map(({host}) => host);
}

function hashPair(duty: string, host: string): string {
  return createHash('sha256').update(`${duty}\n${host}`).digest('hex');
}
