import {
  createRoster,
  digestRoster,
  formatMemberKey,
  type Member,
} from '../membership/member.js';
import type {RulesHead} from './head.js';

/** Time limits of the protocol; all entries of a deployment use the same. */
export interface AcceptanceOptions {
  /** How long a confirmation that the head is current permits serving. */
  readonly freshnessMs: number;
  /** Added to waits to allow for clocks that run at different rates. */
  readonly marginMs: number;
  /** How long a change may lack a majority before it is aborted. */
  readonly abortAfterMs: number;
  /** How long a coordinator may be silent before other entries decide. */
  readonly coordinatorSilenceMs: number;
  /** How long a member may be silent before it is removed. */
  readonly lostAfterMs: number;
}

/** The defaults of {@link AcceptanceOptions}. */
export const ACCEPTANCE_DEFAULTS: AcceptanceOptions = {
  freshnessMs: 6_000,
  marginMs: 500,
  abortAfterMs: 4_000,
  coordinatorSilenceMs: 3_000,
  lostAfterMs: 15_000,
};

/** A running entry that is not a member yet. */
export interface Joiner {
  readonly member: Member;
  /** When its last report was received. */
  readonly seenAtMs: number;
}

/** The protocol state of one entry. Times are of its own monotonic clock. */
export interface EntryState {
  readonly self: Member;
  readonly options: AcceptanceOptions;
  /** The head with the highest sequence number that this entry has seen. */
  readonly knownHead: RulesHead | undefined;
  /** The newest head whose content is loaded; requests are dispatched by it. */
  readonly activeHead: RulesHead | undefined;
  /** Digests of the rules whose content is loaded. */
  readonly loadedDigests: ReadonlySet<string>;
  /**
   * Latest time at which the store is known to have held no head newer than the
   * active one.
   */
  readonly confirmedAtMs: number | undefined;
  /**
   * By member key, the latest time at which the member is known to have applied
   * no head newer than the active one.
   */
  readonly heardAtMs: ReadonlyMap<string, number>;
  /**
   * By member key, the latest send time of a request whose answer says that the
   * member recorded a grant for this entry as a guest.
   */
  readonly grantedAtMs: ReadonlyMap<string, number>;
  /** When this entry first saw the known head with its pending change. */
  readonly pendingSeenAtMs: number;
  /**
   * Keys of the entries that acknowledged the known head by making it their
   * active head, and when this entry learnt of it.
   */
  readonly ackedAtMs: ReadonlyMap<string, number>;
  /**
   * By guest key, the end of the grants that members gave before they
   * acknowledged the known head, as reported with their acknowledgements.
   */
  readonly ackGrantUntilMs: ReadonlyMap<string, number>;
  /** By guest key, the end of the grant that this entry gave. */
  readonly grantUntilMs: ReadonlyMap<string, number>;
  /** By member key. */
  readonly joiners: ReadonlyMap<string, Joiner>;
  /** True once this entry has asked to be removed from the members. */
  readonly isLeaving: boolean;
}

/**
 * Creates the initial state of an entry, without a head.
 *
 * @example
 * ```ts
 * createEntryState(self, ACCEPTANCE_DEFAULTS);
 * ```
 */
export function createEntryState(
  self: Member,
  options: AcceptanceOptions,
): EntryState {
  return {
    self,
    options,
    knownHead: undefined,
    activeHead: undefined,
    loadedDigests: new Set(),
    confirmedAtMs: undefined,
    heardAtMs: new Map(),
    grantedAtMs: new Map(),
    pendingSeenAtMs: 0,
    ackedAtMs: new Map(),
    ackGrantUntilMs: new Map(),
    grantUntilMs: new Map(),
    joiners: new Map(),
    isLeaving: false,
  };
}

/**
 * Lists the roster of a head: its members and those that the pending change
 * adds. Lists in peer reports have the same order.
 *
 * @example
 * ```ts
 * resolveRoster(head).length;
 * ```
 */
export function resolveRoster(head: RulesHead): readonly Member[] {
  return createRoster({
    members: head.members,
    pendingMembers: head.pending?.members,
  });
}

/**
 * Computes the digest of the roster of a head.
 *
 * @returns an empty string without a head.
 *
 * @example
 * ```ts
 * resolveRosterDigest(undefined); // ''
 * ```
 */
export function resolveRosterDigest(head: RulesHead | undefined): string {
  return head === undefined ? '' : resolveRosterInfo(head).digest;
}

/**
 * Lists the member keys of the roster of a head, in the order of the roster.
 *
 * @example
 * ```ts
 * resolveRosterKeys(head)[0]; // 'h1/a'
 * ```
 */
export function resolveRosterKeys(head: RulesHead): readonly string[] {
  return resolveRosterInfo(head).keys;
}

interface RosterInfo {
  readonly keys: readonly string[];
  readonly digest: string;
}

// Caches keys and digest: heads are immutable, and every report needs them.
const rosterInfoByHead = new WeakMap<RulesHead, RosterInfo>();

function resolveRosterInfo(head: RulesHead): RosterInfo {
  const cached = rosterInfoByHead.get(head);
  if (cached !== undefined) return cached;
  const roster = resolveRoster(head);
  const info = {
    keys: roster.map(formatMemberKey),
    digest: digestRoster(roster),
  };
  rosterInfoByHead.set(head, info);
  return info;
}

/** Returns the map with a time set, unless it has a later time for the key. */
export function withLatest(
  times: ReadonlyMap<string, number>,
  key: string,
  timeMs: number,
): ReadonlyMap<string, number> {
  const current = times.get(key);
  if (current !== undefined && current >= timeMs) return times;
  return new Map(times).set(key, timeMs);
}

/** Returns the map with several times set as by {@link withLatest}. */
export function withLatestAll(
  times: ReadonlyMap<string, number>,
  added: Iterable<readonly [string, number]>,
): ReadonlyMap<string, number> {
  let merged = times;
  for (const [key, timeMs] of added) merged = withLatest(merged, key, timeMs);
  return merged;
}
