import {createHash} from 'node:crypto';
import type {MemberId} from '../types/identity.js';

/**
 * The stored object of the lease for one duty, a task that one process at a
 * time carries out. It is never deleted.
 */
export interface Lease {
  /** Undefined after a release. */
  readonly holder: MemberId | undefined;
  /**
   * Fencing number, incremented with each grant. Orders include it so that
   * engines can refuse the orders of an earlier holder.
   */
  readonly fencing: number;
  /** Unique to one write. */
  readonly stamp: string;
}

/** Durations of a lease; the same on every entry. */
export interface LeaseSettings {
  /** How long a grant or renewal lasts. */
  readonly leaseMs: number;
  /** How much earlier the holder stops, to allow for clock drift. */
  readonly marginMs: number;
}

/** A lease that this process holds until `validUntilMs`. */
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

/** The state of one lease in one process. */
export interface LeaseState {
  readonly held: HeldLease | undefined;
  readonly seen: SeenLease | undefined;
}

/** The state before the first call. */
export const INITIAL_LEASE_STATE: LeaseState = {
  held: undefined,
  seen: undefined,
};

/** Computes the object key of the lease for a duty. */
export function resolveLeaseKey(duty: string): string {
  return `leases/${duty}`;
}

/**
 * Parses a lease.
 *
 * @throws SyntaxError when the text is not JSON.
 */
export function parseLease(text: string): Lease {
  return JSON.parse(text) as Lease;
}

/**
 * Selects the hosts that try to acquire the lease for a duty, by rendezvous
 * hashing, so that the number of calls for a lease does not grow with the
 * number of hosts. Hosts with different host lists may select different
 * candidates; the lease still has at most one holder.
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
    .map(host => ({host, weight: computeWeight(duty, host)}))
    .sort((a, b) => (a.weight < b.weight ? -1 : 1))
    .slice(0, count)
    .map(({host}) => host);
}

function computeWeight(duty: string, host: string): string {
  return createHash('sha256').update(`${duty}\n${host}`).digest('hex');
}
