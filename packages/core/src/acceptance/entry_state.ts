import {
  createRoster,
  digestRoster,
  formatMemberKey,
  type Member,
} from '../membership/member.js';
import type {RulesHead} from './head.js';

/** Time bounds of the protocol; each entry of a deployment has the same. */
export interface AcceptanceOptions {
  /** How long a confirmation of the head gives the right to serve. */
  readonly freshnessMs: number;
  /** Added to waits, for clocks that run at unlike rates. */
  readonly marginMs: number;
  /** How long a change may lack a majority before it is refused. */
  readonly abortAfterMs: number;
  /** How long a coordinator may be silent before others decide. */
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

/** A running entry that is not a member yet, and when it was last seen. */
export interface Joiner {
  readonly member: Member;
  readonly seenAtMs: number;
}

/** What one entry knows. Times are of its own monotonic clock. */
export interface EntryState {
  readonly self: Member;
  readonly options: AcceptanceOptions;
  /** The head with the highest sequence seen. */
  readonly knownHead: RulesHead | undefined;
  /** The newest head whose content is loaded; dispatches obey it. */
  readonly activeHead: RulesHead | undefined;
  /** Digests whose content is loaded. */
  readonly loaded: ReadonlySet<string>;
  /** At this time the store held no head newer than the active one. */
  readonly confirmedAtMs: number | undefined;
  /** At this time the member knew no head newer than the active one. */
  readonly heardAtMs: ReadonlyMap<string, number>;
  /** The same, for answers in which the member recorded a guest's grant. */
  readonly grantedAtMs: ReadonlyMap<string, number>;
  /** When the known undecided change was first seen here. */
  readonly pendingSeenAtMs: number;
  /** Members that obey the known head, and when that was learnt. */
  readonly ackedAtMs: ReadonlyMap<string, number>;
  /**
   * End of the grants, by guest, that members gave before they obeyed the
   * known head, as their acknowledgements reported.
   */
  readonly ackGrantUntilMs: ReadonlyMap<string, number>;
  /** End of the grants this entry gave, by guest. */
  readonly grantUntilMs: ReadonlyMap<string, number>;
  readonly joiners: ReadonlyMap<string, Joiner>;
  /** True once this entry wants to leave the members. */
  readonly isLeaving: boolean;
}

/**
 * Creates the state of an entry that knows nothing.
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
    loaded: new Set(),
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
 * Lists the members that count under a head, in the order of reports.
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
 * Digest of the roster of a head; empty for an entry without one.
 *
 * @example
 * ```ts
 * resolveRosterDigest(undefined); // ''
 * ```
 */
export function resolveRosterDigest(head: RulesHead | undefined): string {
  return head === undefined ? '' : resolveRosterFacts(head).digest;
}

/**
 * Lists the keys of the roster of a head, in its order.
 *
 * @example
 * ```ts
 * resolveRosterKeys(head)[0]; // 'h1/a'
 * ```
 */
export function resolveRosterKeys(head: RulesHead): readonly string[] {
  return resolveRosterFacts(head).keys;
}

interface RosterFacts {
  readonly keys: readonly string[];
  readonly digest: string;
}

// Heads are immutable, and every report needs the facts of the same one.
const rosterFacts = new WeakMap<RulesHead, RosterFacts>();

function resolveRosterFacts(head: RulesHead): RosterFacts {
  const cached = rosterFacts.get(head);
  if (cached !== undefined) return cached;
  const roster = resolveRoster(head);
  const facts = {
    keys: roster.map(formatMemberKey),
    digest: digestRoster(roster),
  };
  rosterFacts.set(head, facts);
  return facts;
}

/** Sets a time in a map unless a later one is there. */
export function withLatest(
  times: ReadonlyMap<string, number>,
  key: string,
  timeMs: number,
): ReadonlyMap<string, number> {
  const current = times.get(key);
  if (current !== undefined && current >= timeMs) return times;
  return new Map(times).set(key, timeMs);
}

/** Sets several times in a map unless later ones are there. */
export function withLatestAll(
  times: ReadonlyMap<string, number>,
  added: Iterable<readonly [string, number]>,
): ReadonlyMap<string, number> {
  let merged = times;
  for (const [key, timeMs] of added) merged = withLatest(merged, key, timeMs);
  return merged;
}
