import {
  formatMemberKey,
  hasMember,
  isSuccessor,
  type Member,
} from '../membership/member.js';
import {resolveRoster, type EntryState} from './entry_state.js';
import type {PendingChange, RulesHead} from './head.js';
import {createAbort, createCommit} from './proposal.js';

/** Silent hosts that the reason of a refusal names at most. */
const NAMED_HOST_COUNT = 16;

/** A decision about the undecided change of one head. */
export interface Decision {
  readonly kind: 'commit' | 'abort';
  /** Sequence of the head that the decision is about. */
  readonly sequence: number;
  readonly reason: string;
  readonly silentHosts: readonly string[];
}

/**
 * Creates the head to write over `head` for a decision about it.
 *
 * @returns undefined when the decision is about another head.
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
 * Resolves whether this entry should decide the undecided change now.
 *
 * @returns undefined while there is nothing to decide here.
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
    const reason = `No majority of the members acknowledged; silent: ${silentHosts.slice(0, NAMED_HOST_COUNT).join(', ')}.`;
    return {kind: 'abort', sequence: known.sequence, reason, silentHosts};
  }
  if (nowMs < commitAtMs) return undefined;
  return {kind: 'commit', sequence: known.sequence, reason: '', silentHosts};
}

/**
 * Resolves when the change may be committed: at once after all members
 * acknowledged and their grants to guests ended; else, with a majority, after
 * every right to serve that was given without knowing the change has ended.
 *
 * @returns undefined while no majority acknowledged.
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
  const isComplete = roster.every(m => state.ackedAtMs.has(formatMemberKey(m)));
  if (isComplete) {
    const grantEndMs = resolveGrantEnd(state);
    return grantEndMs === undefined ? 0 : grantEndMs + marginMs;
  }
  const counted = head.members.filter(
    member => !pending.vouchedHosts.includes(member.host),
  );
  const majorityAtMs = [counted, pending.members].map(list =>
    resolveMajorityTime(list.map(m => resolveAckTime(state, pending, m))),
  );
  if (majorityAtMs.some(atMs => atMs === undefined)) return undefined;
  // A silent entry may have heard a member just before it acknowledged, so
  // the wait starts at the last acknowledgement that made the majority.
  const startMs = Math.max(
    state.pendingSeenAtMs,
    ...majorityAtMs.map(atMs => atMs ?? Infinity),
  );
  return startMs + freshnessMs + marginMs;
}

/**
 * Lists the hosts of the roster that did not acknowledge, sorted.
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

// A guest that obeys the known head needs no wait for its grants.
function resolveGrantEnd(state: EntryState): number | undefined {
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
  // A coordinator that is heard but cannot write must not block the change.
  const overdueMs =
    abortAfterMs + freshnessMs + marginMs + coordinatorSilenceMs;
  return silentMs >= coordinatorSilenceMs || nowMs - seenAtMs >= overdueMs;
}

function resolveAckTime(
  state: EntryState,
  pending: PendingChange,
  member: Member,
): number | undefined {
  const ownAtMs = state.ackedAtMs.get(formatMemberKey(member));
  if (ownAtMs !== undefined) return ownAtMs;
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
