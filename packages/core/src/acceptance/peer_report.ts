import {formatMemberKey, hasMember, type Member} from '../membership/member.js';
import {
  resolveRosterDigest,
  resolveRosterKeys,
  withLatest,
  withLatestAll,
  type EntryState,
} from './entry_state.js';
import type {RulesHead} from './head.js';
import {learnHead, withConfirmation} from './known_head.js';
import {isFullMember} from './serving.js';

/**
 * A limited right to serve that a member gave to a guest, an entry that is not
 * in all member lists of its active head.
 */
export interface GuestGrant {
  /** Member key of the guest. */
  readonly guestKey: string;
  readonly remainingMs: number;
}

/** The message that entries exchange, as a request and as its answer. */
export interface PeerReport {
  readonly sender: Member;
  readonly knownSequence: number;
  /** Zero when the sender has no active head yet. */
  readonly activeSequence: number;
  /** The sender's known head; omitted when the receiver has it already. */
  readonly head: RulesHead | undefined;
  /** Digest of the roster of the sender's active head. */
  readonly rosterDigest: string;
  /** Age of the sender's last confirmation of its active head. */
  readonly confirmedAgeMs: number | undefined;
  /**
   * Time since the sender last heard each member, directly or through others,
   * in the order of the roster; undefined for members never heard.
   */
  readonly memberAgesMs: ReadonlyArray<number | undefined>;
  /** Which members acknowledged the sender's active head, in the same order. */
  readonly acked: readonly boolean[];
  /** Grants that those members gave to guests before they acknowledged. */
  readonly ackGrants: readonly GuestGrant[];
  /** In a request: the sender is a guest and asks for a grant. */
  readonly isGuest: boolean;
  /** In an answer: the sender recorded a grant for the receiver. */
  readonly isGuestGrant: boolean;
  /** The sender is leaving and must not be added to the members again. */
  readonly isLeaving: boolean;
}

/** Options of {@link createReport}. */
export interface ReportOptions {
  /** Whether the report includes the known head. */
  readonly hasHead: boolean;
  /** Whether the report includes member ages; they are used in answers only. */
  readonly hasAges: boolean;
  readonly isGuestGrant: boolean;
}

/**
 * Creates a report of the state of an entry.
 *
 * @example
 * ```ts
 * createReport(state, nowMs, {
 *   hasHead: false,
 *   hasAges: false,
 *   isGuestGrant: false,
 * });
 * ```
 */
export function createReport(
  state: EntryState,
  nowMs: number,
  options: ReportOptions,
): PeerReport {
  const {activeHead: active, knownHead: known, self, confirmedAtMs} = state;
  const keys = active === undefined ? [] : resolveRosterKeys(active);
  const isCurrent = active !== undefined && active.sequence === known?.sequence;
  return {
    sender: self,
    knownSequence: known?.sequence ?? 0,
    activeSequence: active?.sequence ?? 0,
    head: options.hasHead ? known : undefined,
    rosterDigest: resolveRosterDigest(active),
    confirmedAgeMs:
      confirmedAtMs === undefined ? undefined : nowMs - confirmedAtMs,
    memberAgesMs: options.hasAges
      ? keys.map(key => resolveAge(state, key, nowMs))
      : [],
    acked: isCurrent ? keys.map(key => state.ackedAtMs.has(key)) : [],
    ackGrants: isCurrent ? listAckGrants(state, nowMs) : [],
    isGuest: !isFullMember(state),
    isGuestGrant: options.isGuestGrant,
    isLeaving: state.isLeaving,
  };
}

/**
 * Merges a peer's request into the state: its head, its acknowledgements, the
 * sender as a joiner and, for a guest, the grant. Its ages are not used, since
 * the time that the request spent in transit is unknown.
 *
 * @example
 * ```ts
 * mergeRequest(state, report, nowMs).joiners;
 * ```
 */
export function mergeRequest(
  state: EntryState,
  report: PeerReport,
  nowMs: number,
): EntryState {
  const withHead =
    report.head === undefined ? state : learnHead(state, report.head, nowMs);
  const updated = recordJoiner(
    recordAcks(withHead, report, nowMs),
    report,
    nowMs,
  );
  if (!isGuestOf(updated, report)) return updated;
  const grantUntilMs = withLatest(
    updated.grantUntilMs,
    formatMemberKey(report.sender),
    nowMs + state.options.freshnessMs,
  );
  return {...updated, grantUntilMs};
}

/**
 * Returns true when the sender of a request is a guest, so that this entry has
 * to record a grant before it answers.
 *
 * @example
 * ```ts
 * isGuestOf(state, request);
 * ```
 */
export function isGuestOf(state: EntryState, report: PeerReport): boolean {
  // A leaving entry no longer serves, so no change has to wait for its grant.
  if (report.isLeaving) return false;
  if (report.isGuest || state.activeHead === undefined) return true;
  return !hasMember(state.activeHead.members, report.sender);
}

/**
 * Merges a peer's answer into the state. Ages are counted from the time at
 * which the request was sent. They are ignored when the peer's active head is
 * newer than the active head of this entry.
 *
 * @example
 * ```ts
 * mergeAnswer(state, answer, sentAtMs, nowMs).heardAtMs;
 * ```
 */
export function mergeAnswer(
  state: EntryState,
  report: PeerReport,
  sentAtMs: number,
  nowMs: number,
): EntryState {
  const withHead =
    report.head === undefined ? state : learnHead(state, report.head, nowMs);
  const updated = recordJoiner(
    recordAcks(withHead, report, nowMs),
    report,
    nowMs,
  );
  if (updated.activeHead === undefined) return updated;
  if (report.activeSequence > updated.activeHead.sequence) return updated;
  return recordAges(updated, updated.activeHead, report, sentAtMs);
}

function recordAges(
  state: EntryState,
  active: RulesHead,
  report: PeerReport,
  sentAtMs: number,
): EntryState {
  const senderKey = formatMemberKey(report.sender);
  const heardAtMs = new Map(withLatest(state.heardAtMs, senderKey, sentAtMs));
  if (report.rosterDigest === resolveRosterDigest(active)) {
    mergeReportedAges(heardAtMs, resolveRosterKeys(active), report, sentAtMs);
  }
  const grantedAtMs = report.isGuestGrant
    ? withLatest(state.grantedAtMs, senderKey, sentAtMs)
    : state.grantedAtMs;
  const next = {...state, heardAtMs, grantedAtMs};
  if (report.confirmedAgeMs === undefined) return next;
  return withConfirmation(next, sentAtMs - report.confirmedAgeMs);
}

function mergeReportedAges(
  heardAtMs: Map<string, number>,
  keys: readonly string[],
  report: PeerReport,
  sentAtMs: number,
): void {
  keys.forEach((key, index) => {
    const ageMs = report.memberAgesMs[index];
    if (ageMs === undefined) return;
    const atMs = sentAtMs - ageMs;
    heardAtMs.set(key, Math.max(heardAtMs.get(key) ?? atMs, atMs));
  });
}

function recordAcks(
  state: EntryState,
  report: PeerReport,
  nowMs: number,
): EntryState {
  const {knownHead: known} = state;
  if (known === undefined || report.activeSequence !== known.sequence) {
    return state;
  }
  const keys = resolveRosterKeys(known).filter(
    (_, index) => report.acked[index],
  );
  const ackedKeys = [formatMemberKey(report.sender), ...keys];
  const newKeys = ackedKeys.filter(key => !state.ackedAtMs.has(key));
  if (newKeys.length === 0 && report.ackGrants.length === 0) return state;
  const ackedAtMs = new Map(state.ackedAtMs);
  for (const key of newKeys) ackedAtMs.set(key, nowMs);
  const grantEnds = report.ackGrants.map(
    ({guestKey, remainingMs}) => [guestKey, nowMs + remainingMs] as const,
  );
  const ackGrantUntilMs = withLatestAll(state.ackGrantUntilMs, grantEnds);
  return {...state, ackedAtMs, ackGrantUntilMs};
}

function recordJoiner(
  state: EntryState,
  report: PeerReport,
  nowMs: number,
): EntryState {
  const {sender} = report;
  const joiners = new Map(state.joiners);
  const key = formatMemberKey(sender);
  const isMember =
    state.knownHead !== undefined && hasMember(state.knownHead.members, sender);
  if (isMember || report.isLeaving) {
    if (!joiners.delete(key)) return state;
  } else {
    joiners.set(key, {member: sender, seenAtMs: nowMs});
  }
  return {...state, joiners};
}

function resolveAge(
  state: EntryState,
  key: string,
  nowMs: number,
): number | undefined {
  if (key === formatMemberKey(state.self)) return 0;
  const atMs = state.heardAtMs.get(key);
  return atMs === undefined ? undefined : nowMs - atMs;
}

function listAckGrants(
  state: EntryState,
  nowMs: number,
): readonly GuestGrant[] {
  return [...state.ackGrantUntilMs]
    .filter(([key, untilMs]) => untilMs > nowMs && !state.ackedAtMs.has(key))
    .map(([guestKey, untilMs]) => ({guestKey, remainingMs: untilMs - nowMs}));
}
