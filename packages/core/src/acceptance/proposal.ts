import type {Member} from '../membership/member.js';
import type {MemberId} from '../types/identity.js';
import {
  MAX_RECENT_CHANGES,
  isRulesChange,
  type ChangeRecord,
  type PendingChange,
  type RulesHead,
  type RulesRef,
} from './head.js';

/** Maximum number of silent hosts kept in the record of a change. */
const MAX_RECORDED_HOSTS = 16;

/** A change to be proposed. */
export interface ProposedChange {
  readonly changeId: string;
  /** Digest of the new rules; undefined for a change of members alone. */
  readonly digest: string | undefined;
  /** The revision on which the operator's edit is based. */
  readonly baseRevision: number;
  readonly members: readonly Member[];
  readonly coordinator: MemberId;
  readonly who: string;
  readonly why: string;
  readonly vouchedHosts: readonly string[];
}

/** The head to write, or the reason why the change cannot be proposed. */
export type ProposalResult =
  | {readonly kind: 'proposed'; readonly next: RulesHead}
  /** The change is pending, or decided if it has a record. */
  | {readonly kind: 'repeated'; readonly record: ChangeRecord | undefined}
  /** Another change is pending. */
  | {readonly kind: 'busy'; readonly changeId: string}
  | {readonly kind: 'refused'; readonly reason: string};

/**
 * Creates the head that has the change as its pending change.
 *
 * @example
 * ```ts
 * createProposal(head, change); // {kind: 'proposed', next}
 * ```
 */
export function createProposal(
  head: RulesHead,
  change: ProposedChange,
): ProposalResult {
  const record = findChangeRecord(head, change.changeId);
  if (record !== undefined) return {kind: 'repeated', record};
  if (head.pending?.changeId === change.changeId) {
    return {kind: 'repeated', record: undefined};
  }
  if (head.pending !== undefined) {
    return {kind: 'busy', changeId: head.pending.changeId};
  }
  if (
    change.digest !== undefined &&
    change.baseRevision !== head.rules.revision
  ) {
    return {kind: 'refused', reason: describeConflict(head, change)};
  }
  const pending: PendingChange = {
    changeId: change.changeId,
    rules: resolveRules(head.rules, change.digest),
    members: change.members,
    coordinator: change.coordinator,
    who: change.who,
    why: change.why,
    vouchedHosts: change.vouchedHosts,
  };
  return {
    kind: 'proposed',
    next: {...head, sequence: head.sequence + 1, pending},
  };
}

/**
 * Creates the head that commits the pending change and records it as accepted.
 *
 * @example
 * ```ts
 * createCommit(head, pending, ['h4']).rules.revision;
 * ```
 */
export function createCommit(
  head: RulesHead,
  pending: PendingChange,
  silentHosts: readonly string[],
): RulesHead {
  const record = createRecord(pending, 'accepted', '', silentHosts);
  return {
    sequence: head.sequence + 1,
    rules: pending.rules,
    members: pending.members,
    pending: undefined,
    recent: appendRecord(head, pending, record),
  };
}

/**
 * Creates the head that aborts the pending change and records it as refused.
 *
 * @example
 * ```ts
 * createAbort(head, pending, 'no majority', ['h3', 'h4']).pending; // undefined
 * ```
 */
export function createAbort(
  head: RulesHead,
  pending: PendingChange,
  reason: string,
  silentHosts: readonly string[],
): RulesHead {
  const record = createRecord(pending, 'refused', reason, silentHosts);
  return {
    ...head,
    sequence: head.sequence + 1,
    pending: undefined,
    recent: appendRecord(head, pending, record),
  };
}

/**
 * Finds the record of a change among the recently decided ones.
 *
 * @example
 * ```ts
 * findChangeRecord(head, 'c-1')?.state; // 'accepted'
 * ```
 */
export function findChangeRecord(
  head: RulesHead,
  changeId: string,
): ChangeRecord | undefined {
  return head.recent.find(record => record.changeId === changeId);
}

function resolveRules(rules: RulesRef, digest: string | undefined): RulesRef {
  if (digest === undefined) return rules;
  return {revision: rules.revision + 1, digest};
}

function createRecord(
  pending: PendingChange,
  state: ChangeRecord['state'],
  reason: string,
  silentHosts: readonly string[],
): ChangeRecord {
  const {changeId, who, why} = pending;
  const {revision} = pending.rules;
  return {
    changeId,
    state,
    revision,
    who,
    why,
    reason,
    silentHosts: silentHosts.slice(0, MAX_RECORDED_HOSTS),
  };
}

function appendRecord(
  head: RulesHead,
  pending: PendingChange,
  record: ChangeRecord,
): readonly ChangeRecord[] {
  if (!isRulesChange(head.rules, pending)) return head.recent;
  return [...head.recent, record].slice(-MAX_RECENT_CHANGES);
}

function describeConflict(head: RulesHead, change: ProposedChange): string {
  const accepted = head.recent.filter(
    record =>
      record.state === 'accepted' && record.revision > change.baseRevision,
  );
  const descriptions = accepted.map(
    ({revision, who, why}) => `revision ${revision} by ${who}: ${why}`,
  );
  const detail =
    descriptions.length === 0 ? '' : ` (${descriptions.join('; ')})`;
  return `The edit is based on revision ${change.baseRevision}, but revision ${head.rules.revision} is in force${detail}.`;
}
