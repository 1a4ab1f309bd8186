import {formatMemberKey, hasMember, type Member} from '../membership/member.js';
import {
  resolveRosterDigest,
  resolveRosterKeys,
  withLatest,
  withLatestAll,
  type EntryState,
} from './entry_state.js';
import type {RulesHead} from './head.js';
import {learnHead, withConfirmation} from './knowledge.js';
import {isFullMember} from './serving.js';

/** A right to serve that a member gave to a guest. */
export interface GuestGrant {
  /** Key of the guest's identity. */
  readonly guestKey: string;
  readonly remainingMs: number;
}

/** What one entry tells another, as a request or as its answer. */
export interface PeerReport {
  readonly sender: Member;
  readonly knownSequence: number;
  /** Zero when the sender obeys no head yet. */
  readonly activeSequence: number;
  /** The sender's known head, left out when the receiver has it. */
  readonly head: RulesHead | undefined;
  readonly rosterDigest: string;
  readonly confirmedAgeMs: number | undefined;
  /** In the order of the roster; undefined for members never heard. */
  readonly memberAgesMs: ReadonlyArray<number | undefined>;
  /** Which members obey the sender's active head, in the same order. */
  readonly acked: readonly boolean[];
  /** Grants that those members gave to guests before. */
  readonly ackGrants: readonly GuestGrant[];
  /** In a request: the sender counts the answer as a guest. */
  readonly isGuest: boolean;
  /** In an answer: the sender recorded a grant for the receiver. */
  readonly isGuestGrant: boolean;
  /** The sender wants to leave and must not be added again. */
  readonly isLeaving: boolean;
}

/** How a report is made. */
export interface ReportOptions {
  /** Whether the report carries the known head. */
  readonly hasHead: boolean;
  /** Whether the report carries ages; only those of an answer count. */
  readonly hasAges: boolean;
  readonly isGuestGrant: boolean;
}

/**
 * Creates the report of an entry.
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
 * Takes in a peer's request. It brings knowledge but no freshness: how long
 * it was under way is not known.
 *
 * @example
 * ```ts
 * absorbRequest(state, report, nowMs).joiners;
 * ```
 */
export function absorbRequest(
  state: EntryState,
  report: PeerReport,
  nowMs: number,
): EntryState {
  const learnt =
    report.head === undefined ? state : learnHead(state, report.head, nowMs);
  const noted = noteJoiner(noteAcks(learnt, report, nowMs), report, nowMs);
  if (!isGuestOf(noted, report)) return noted;
  const grantUntilMs = withLatest(
    noted.grantUntilMs,
    formatMemberKey(report.sender),
    nowMs + state.options.freshnessMs,
  );
  return {...noted, grantUntilMs};
}

/**
 * True when the answer to this request must record a grant.
 *
 * @example
 * ```ts
 * isGuestOf(state, request);
 * ```
 */
export function isGuestOf(state: EntryState, report: PeerReport): boolean {
  // A leaving entry serves no more, so nobody has to wait for its grant.
  if (report.isLeaving) return false;
  if (report.isGuest || state.activeHead === undefined) return true;
  return !hasMember(state.activeHead.members, report.sender);
}

/**
 * Takes in a peer's answer. Ages count from the time at which the request was
 * sent, and only when this entry obeys all that the peer obeyed.
 *
 * @example
 * ```ts
 * absorbAnswer(state, answer, sentAtMs, nowMs).heardAtMs;
 * ```
 */
export function absorbAnswer(
  state: EntryState,
  report: PeerReport,
  sentAtMs: number,
  nowMs: number,
): EntryState {
  const learnt =
    report.head === undefined ? state : learnHead(state, report.head, nowMs);
  const noted = noteJoiner(noteAcks(learnt, report, nowMs), report, nowMs);
  if (noted.activeHead === undefined) return noted;
  if (report.activeSequence > noted.activeHead.sequence) return noted;
  return noteAges(noted, noted.activeHead, report, sentAtMs);
}

function noteAges(
  state: EntryState,
  active: RulesHead,
  report: PeerReport,
  sentAtMs: number,
): EntryState {
  const senderKey = formatMemberKey(report.sender);
  const heardAtMs = new Map(withLatest(state.heardAtMs, senderKey, sentAtMs));
  if (report.rosterDigest === resolveRosterDigest(active)) {
    mergeAges(heardAtMs, resolveRosterKeys(active), report, sentAtMs);
  }
  const grantedAtMs = report.isGuestGrant
    ? withLatest(state.grantedAtMs, senderKey, sentAtMs)
    : state.grantedAtMs;
  const next = {...state, heardAtMs, grantedAtMs};
  if (report.confirmedAgeMs === undefined) return next;
  return withConfirmation(next, sentAtMs - report.confirmedAgeMs);
}

function mergeAges(
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

function noteAcks(
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
  const acked = [formatMemberKey(report.sender), ...keys];
  const added = acked.filter(key => !state.ackedAtMs.has(key));
  if (added.length === 0 && report.ackGrants.length === 0) return state;
  const ackedAtMs = new Map(state.ackedAtMs);
  for (const key of added) ackedAtMs.set(key, nowMs);
  const ends = report.ackGrants.map(
    ({guestKey, remainingMs}) => [guestKey, nowMs + remainingMs] as const,
  );
  const ackGrantUntilMs = withLatestAll(state.ackGrantUntilMs, ends);
  return {...state, ackedAtMs, ackGrantUntilMs};
}

function noteJoiner(
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
