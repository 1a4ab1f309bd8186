import type {Member} from '../membership/member.js';
import type {MemberId} from '../types/identity.js';

/** Names one revision of the rules and the digest of its text. */
export interface RulesRef {
  readonly revision: number;
  readonly digest: string;
}

/** A change that was proposed and is not decided. */
export interface PendingChange {
  readonly changeId: string;
  readonly rules: RulesRef;
  readonly members: readonly Member[];
  /** The entry that proposed the change and decides it while it is heard. */
  readonly coordinator: MemberId;
  readonly who: string;
  readonly why: string;
  /** Hosts that do not count, because the operator vouches for their stop. */
  readonly vouchedHosts: readonly string[];
}

/** How a change of the rules ended. */
export interface ChangeRecord {
  readonly changeId: string;
  readonly state: 'accepted' | 'refused';
  readonly revision: number;
  readonly who: string;
  readonly why: string;
  readonly reason: string;
  /** The first of the hosts that did not acknowledge. */
  readonly silentHosts: readonly string[];
}

/** The one object that says which rules and members are in force. */
export interface RulesHead {
  /** Grows by one with every update. */
  readonly sequence: number;
  readonly rules: RulesRef;
  readonly members: readonly Member[];
  readonly pending: PendingChange | undefined;
  /** The last decided changes of the rules, newest last. */
  readonly recent: readonly ChangeRecord[];
}

/** How many decided changes the head keeps. */
export const MAX_RECENT_CHANGES = 8;

/**
 * Formats a head as the value of its object.
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
 * Parses the value written by {@link formatHead}.
 *
 * @returns undefined when the value is not a head.
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
 * True when the undecided change alters the rules and not the members alone.
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
 * Lists the digests whose content an entry needs to obey a head.
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
