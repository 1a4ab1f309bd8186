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

/** Silent hosts that the record of a change names at most. */
const RECORDED_HOST_COUNT = 16;

/** A change as offered to the head. */
export interface ProposedChange {
  readonly changeId: string;
  /** Digest of the new rules; undefined for a change of members alone. */
  readonly digest: string | undefined;
  /** The revision that the operator edited. */
  readonly baseRevision: number;
  readonly members: readonly Member[];
  readonly coordinator: MemberId;
  readonly who: string;
  readonly why: string;
  readonly vouchedHosts: readonly string[];
}

/** Either the head to write, or why there is none. */
export type ProposalResult =
  | {readonly kind: 'proposed'; readonly next: RulesHead}
  | {readonly kind: 'repeated'; readonly record: ChangeRecord | undefined}
  | {readonly kind: 'busy'; readonly changeId: string}
  | {readonly kind: 'refused'; readonly reason: string};

/**
 * Creates the head that proposes a change.
 *
 * @example
 * ```ts
 * createProposal(head, offer); // {kind: 'proposed', next}
 * ```
 */
export function createProposal(
  head: RulesHead,
  offer: ProposedChange,
): ProposalResult {
  const record = findChangeRecord(head, offer.changeId);
  if (record !== undefined) return {kind: 'repeated', record};
  if (head.pending?.changeId === offer.changeId) {
    return {kind: 'repeated', record: undefined};
  }
  if (head.pending !== undefined) {
    return {kind: 'busy', changeId: head.pending.changeId};
  }
  if (
    offer.digest !== undefined &&
    offer.baseRevision !== head.rules.revision
  ) {
    return {kind: 'refused', reason: describeConflict(head, offer)};
  }
  const pending: PendingChange = {
    changeId: offer.changeId,
    rules: resolveRules(head.rules, offer.digest),
    members: offer.members,
    coordinator: offer.coordinator,
    who: offer.who,
    why: offer.why,
    vouchedHosts: offer.vouchedHosts,
  };
  return {
    kind: 'proposed',
    next: {...head, sequence: head.sequence + 1, pending},
  };
}

/**
 * Creates the head that accepts the undecided change.
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
 * Creates the head that refuses the undecided change.
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
 * Finds the outcome of a change among the recent ones.
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
    silentHosts: silentHosts.slice(0, RECORDED_HOST_COUNT),
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

function describeConflict(head: RulesHead, offer: ProposedChange): string {
  const accepted = head.recent.filter(
    record =>
      record.state === 'accepted' && record.revision > offer.baseRevision,
  );
  const changes = accepted.map(
    ({revision, who, why}) => `revision ${revision} by ${who}: ${why}`,
  );
  const detail = changes.length === 0 ? '' : ` (${changes.join('; ')})`;
  return `The edit is based on revision ${offer.baseRevision}, but revision ${head.rules.revision} is in force${detail}.`;
}
