import {
  formatMemberKey,
  hasMember,
  isSuccessor,
  type Member,
} from '../membership/member.js';
import {resolveRoster, type EntryState} from './entry_state.js';
import type {PendingChange, RulesHead} from './head.js';
import {createAbort, createCommit} from './proposal.js';

/** Maximum number of silent hosts listed in the reason of an abort. */
const MAX_LISTED_HOSTS = 16;

/** A decision to commit or abort the pending change of a head. */
export interface Decision {
  readonly kind: 'commit' | 'abort';
  /** Sequence number of the head that holds the pending change. */
  readonly sequence: number;
  readonly reason: string;
  readonly silentHosts: readonly string[];
}

/**
 * Creates the head that replaces `head` once the decision is carried out.
 *
 * @returns undefined when `head` has no pending change or is not the head that
 *   the decision was made for.
 * @example
 * ```ts
 * applyDecision(decision, head)?.rules.revision;
 * ```
 */
export function applyDecision(
  decision: Decision,
  head: RulesHead,
): RulesHead | undefined {
  const {pending} = head;
  const {kind, sequence, reason, silentHosts} = decision;
  if (pending === undefined || head.sequence !== sequence) return undefined;
  if (kind === 'commit') return createCommit(head, pending, silentHosts);
  return createAbort(head, pending, reason, silentHosts);
}

/**
 * Decides whether this entry should commit or abort the pending change now.
 *
 * @returns undefined when no change is pending, when another entry should
 *   decide it, or while neither a commit nor an abort is due.
 * @example
 * ```ts
 * resolveDecision(state, nowMs)?.kind; // 'commit'
 * ```
 */
export function resolveDecision(
  state: EntryState,
  nowMs: number,
): Decision | undefined {
  const {knownHead: known, options} = state;
  const pending = known?.pending;
  if (known === undefined || pending === undefined) return undefined;
  if (!mayDecide(state, pending, nowMs)) return undefined;
  const silentHosts = listSilentHosts(state, known);
  const commitAtMs = resolveCommitTime(state, known, pending);
  if (commitAtMs === undefined) {
    if (nowMs - state.pendingSeenAtMs < options.abortAfterMs) return undefined;
    const reason = `No majority of the members acknowledged; silent: ${silentHosts.slice(0, MAX_LISTED_HOSTS).join(', ')}.`;
    return {kind: 'abort', sequence: known.sequence, reason, silentHosts};
  }
  if (nowMs < commitAtMs) return undefined;
  return {kind: 'commit', sequence: known.sequence, reason: '', silentHosts};
}

/**
 * Computes the earliest time at which the pending change may be committed, in
 * milliseconds of this entry's monotonic clock. If all members acknowledged,
 * that is when their grants to guests have expired (0 without grants). With
 * only a majority, it is when every right to serve that was given without
 * knowledge of the change has expired.
 *
 * @returns undefined while no majority has acknowledged.
 * @example
 * ```ts
 * resolveCommitTime(state, head, pending);
 * ```
 */
export function resolveCommitTime(
  state: EntryState,
  head: RulesHead,
  pending: PendingChange,
): number | undefined {
  const {freshnessMs, marginMs} = state.options;
  const roster = resolveRoster(head);
  const hasAllAcks = roster.every(m => state.ackedAtMs.has(formatMemberKey(m)));
  if (hasAllAcks) {
    const grantEndMs = resolveGuestGrantEnd(state);
    return grantEndMs === undefined ? 0 : grantEndMs + marginMs;
  }
  const countedMembers = head.members.filter(
    member => !pending.vouchedHosts.includes(member.host),
  );
  const majorityAtMs = [countedMembers, pending.members].map(list =>
    resolveMajorityTime(list.map(m => resolveAckTime(state, pending, m))),
  );
  if (majorityAtMs.some(atMs => atMs === undefined)) return undefined;
  // A silent entry may have received an answer from a member just before that
  // member acknowledged, so the wait starts at the acknowledgement that
  // completed the majority.
  const startMs = Math.max(
    state.pendingSeenAtMs,
    ...majorityAtMs.map(atMs => atMs ?? Infinity),
  );
  return startMs + freshnessMs + marginMs;
}

/**
 * Lists the hosts of the roster that have not acknowledged the head, sorted.
 *
 * @example
 * ```ts
 * listSilentHosts(state, head); // ['h4']
 * ```
 */
export function listSilentHosts(
  state: EntryState,
  head: RulesHead,
): readonly string[] {
  const silent = resolveRoster(head).filter(
    member => !state.ackedAtMs.has(formatMemberKey(member)),
  );
  return [...new Set(silent.map(member => member.host))].sort();
}

// The grants of a guest that acknowledged the known head need not expire first.
function resolveGuestGrantEnd(state: EntryState): number | undefined {
  const ends = [...state.ackGrantUntilMs]
    .filter(([key]) => !state.ackedAtMs.has(key))
    .map(([, untilMs]) => untilMs);
  return ends.length === 0 ? undefined : Math.max(...ends);
}

function mayDecide(
  state: EntryState,
  pending: PendingChange,
  nowMs: number,
): boolean {
  const {coordinator} = pending;
  if (hasMember([state.self], coordinator)) return true;
  const {abortAfterMs, freshnessMs, marginMs, coordinatorSilenceMs} =
    state.options;
  const heardAtMs = state.heardAtMs.get(formatMemberKey(coordinator)) ?? 0;
  const seenAtMs = state.pendingSeenAtMs;
  const silentMs = nowMs - Math.max(seenAtMs, heardAtMs);
  // A coordinator that answers its peers but cannot write to the store must not
  // block the change.
  const overdueMs =
    abortAfterMs + freshnessMs + marginMs + coordinatorSilenceMs;
  return silentMs >= coordinatorSilenceMs || nowMs - seenAtMs >= overdueMs;
}

function resolveAckTime(
  state: EntryState,
  pending: PendingChange,
  member: Member,
): number | undefined {
  const ownAckAtMs = state.ackedAtMs.get(formatMemberKey(member));
  if (ownAckAtMs !== undefined) return ownAckAtMs;
  const successor = pending.members.find(m => isSuccessor(member, m));
  if (successor === undefined) return undefined;
  return state.ackedAtMs.get(formatMemberKey(successor));
}

function resolveMajorityTime(
  ackTimesMs: ReadonlyArray<number | undefined>,
): number | undefined {
  if (ackTimesMs.length === 0) return 0;
  const sorted = ackTimesMs
    .filter(atMs => atMs !== undefined)
    .sort((a, b) => a - b);
  return sorted[Math.floor(ackTimesMs.length / 2)];
}
