import type {Member} from '../membership/member.js';
import type {MemberId} from '../types/identity.js';

/** A revision of the rules, and the digest of their text. */
export interface RulesRef {
  readonly revision: number;
  readonly digest: string;
}

/** A proposed change that is neither committed nor aborted yet. */
export interface PendingChange {
  readonly changeId: string;
  readonly rules: RulesRef;
  readonly members: readonly Member[];
  /**
   * The entry that proposed the change. It also decides it, unless it falls
   * silent or takes too long.
   */
  readonly coordinator: MemberId;
  readonly who: string;
  readonly why: string;
  /**
   * Hosts that are left out of the majority, because the operator has confirmed
   * that they are stopped.
   */
  readonly vouchedHosts: readonly string[];
}

/** The outcome of a change of the rules. */
export interface ChangeRecord {
  readonly changeId: string;
  readonly state: 'accepted' | 'refused';
  readonly revision: number;
  readonly who: string;
  readonly why: string;
  readonly reason: string;
  /** Hosts that did not acknowledge the change; a long list is cut. */
  readonly silentHosts: readonly string[];
}

/** The stored object that states which rules and members are in force. */
export interface RulesHead {
  /** Incremented by one with every update. */
  readonly sequence: number;
  readonly rules: RulesRef;
  readonly members: readonly Member[];
  readonly pending: PendingChange | undefined;
  /** The most recent decided changes of the rules, newest last. */
  readonly recent: readonly ChangeRecord[];
}

/** Maximum number of decided changes that the head keeps. */
export const MAX_RECENT_CHANGES = 8;

/**
 * Serialises a head as the value of its stored object.
 *
 * @example
 * ```ts
 * await store.put('rules/head', formatHead(head), {kind: 'absent'});
 * ```
 */
export function formatHead(head: RulesHead): string {
  return JSON.stringify(head);
}

/**
 * Parses a value written by {@link formatHead}.
 *
 * @returns undefined when the value is not a valid head.
 * @example
 * ```ts
 * parseHead(object.value)?.sequence;
 * ```
 */
export function parseHead(value: string): RulesHead | undefined {
  let head: Partial<RulesHead> | null;
  try {
    head = JSON.parse(value) as Partial<RulesHead> | null;
  } catch {
    return undefined;
  }
  if (!isHeadShape(head)) return undefined;
  return {...head, pending: head.pending, recent: head.recent ?? []};
}

/**
 * Returns true when the pending change alters the rules, and false when it
 * alters only the members.
 *
 * @example
 * ```ts
 * isRulesChange(head.rules, head.pending);
 * ```
 */
export function isRulesChange(
  rules: RulesRef,
  pending: PendingChange,
): boolean {
  return pending.rules.revision !== rules.revision;
}

/**
 * Lists the digests of the rules that an entry has to load to apply a head.
 *
 * @example
 * ```ts
 * listDigests(head); // ['sha256-of-rules', 'sha256-of-pending-rules']
 * ```
 */
export function listDigests(head: RulesHead): readonly string[] {
  const digests = [head.rules.digest];
  if (head.pending !== undefined) digests.push(head.pending.rules.digest);
  return [...new Set(digests)];
}

function isHeadShape(head: Partial<RulesHead> | null): head is RulesHead {
  return (
    typeof head === 'object' &&
    head !== null &&
    Number.isSafeInteger(head.sequence) &&
    isRulesRef(head.rules) &&
    Array.isArray(head.members) &&
    (head.pending === undefined || isRulesRef(head.pending.rules))
  );
}

function isRulesRef(value: RulesRef | undefined): boolean {
  return (
    typeof value?.digest === 'string' && Number.isSafeInteger(value.revision)
  );
}
