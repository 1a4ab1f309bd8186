import {formatMemberKey} from '../membership/member.js';
import {resolveDecision, type Decision} from './decision.js';
import type {EntryState} from './entry_state.js';
import type {RulesHead} from './head.js';
import {
  confirmHead,
  learnContent,
  learnHead,
  listMissingDigests,
} from './knowledge.js';
import {
  absorbAnswer,
  absorbRequest,
  createReport,
  isGuestOf,
  type PeerReport,
} from './peer_report.js';

/** What happens to an entry. `sentAtMs` is when the answered call was sent. */
export type EntryEvent =
  | {
      readonly kind: 'storeAnswered';
      readonly head: RulesHead;
      readonly sentAtMs: number;
    }
  | {readonly kind: 'headLearned'; readonly head: RulesHead}
  | {readonly kind: 'contentLoaded'; readonly digest: string}
  | {readonly kind: 'contentDropped'; readonly digest: string}
  | {readonly kind: 'peerAsked'; readonly report: PeerReport}
  | {
      readonly kind: 'peerAnswered';
      readonly report: PeerReport;
      readonly sentAtMs: number;
    }
  | {readonly kind: 'leaving'}
  | {readonly kind: 'ticked'};

/** What an entry has to do next. */
export type EntryAction =
  | {readonly kind: 'loadContent'; readonly digest: string}
  | {readonly kind: 'writeDecision'; readonly decision: Decision};

/** The state after an event, and what it asks for. */
export interface StepResult {
  readonly state: EntryState;
  readonly actions: readonly EntryAction[];
}

type EventOf<Kind extends EntryEvent['kind']> = Extract<
  EntryEvent,
  {readonly kind: Kind}
>;

type EventHandlers = {
  readonly [Kind in EntryEvent['kind']]: (
    state: EntryState,
    event: EventOf<Kind>,
    nowMs: number,
  ) => EntryState;
};

const EVENT_HANDLERS: EventHandlers = {
  storeAnswered: (state, event, nowMs) =>
    confirmHead(state, event.head, event.sentAtMs, nowMs),
  headLearned: (state, event, nowMs) => learnHead(state, event.head, nowMs),
  contentLoaded: (state, event, nowMs) =>
    learnContent(state, event.digest, nowMs),
  contentDropped: (state, event) => {
    const loaded = new Set(state.loaded);
    loaded.delete(event.digest);
    return {...state, loaded};
  },
  peerAsked: (state, event, nowMs) => absorbRequest(state, event.report, nowMs),
  peerAnswered: (state, event, nowMs) =>
    absorbAnswer(state, event.report, event.sentAtMs, nowMs),
  leaving: state => ({...state, isLeaving: true}),
  ticked: (state, _event, nowMs) =>
    dropOldJoiners(dropOldGrants(state, nowMs), nowMs),
};

/**
 * Takes one step of an entry.
 *
 * @example
 * ```ts
 * const {state, actions} = stepEntry(before, {kind: 'ticked'}, nowMs);
 * ```
 */
export function stepEntry(
  before: EntryState,
  event: EntryEvent,
  nowMs: number,
): StepResult {
  const handler = EVENT_HANDLERS[event.kind] as (
    state: EntryState,
    event: EntryEvent,
    nowMs: number,
  ) => EntryState;
  const state = handler(before, event, nowMs);
  const decision = resolveDecision(state, nowMs);
  const loads = listMissingDigests(state).map((digest): EntryAction => ({
    kind: 'loadContent',
    digest,
  }));
  if (decision === undefined) return {state, actions: loads};
  return {state, actions: [...loads, {kind: 'writeDecision', decision}]};
}

/**
 * Creates the answer to a request that was taken in.
 *
 * @example
 * ```ts
 * createAnswer(state, request, nowMs).isGuestGrant;
 * ```
 */
export function createAnswer(
  state: EntryState,
  request: PeerReport,
  nowMs: number,
): PeerReport {
  const known = state.knownHead?.sequence ?? 0;
  return createReport(state, nowMs, {
    hasHead: known > request.knownSequence,
    hasAges: true,
    isGuestGrant: isGuestOf(state, request),
  });
}

function dropOldJoiners(state: EntryState, nowMs: number): EntryState {
  const {freshnessMs} = state.options;
  const joiners = [...state.joiners.values()].filter(
    ({seenAtMs}) => nowMs - seenAtMs < freshnessMs,
  );
  if (joiners.length === state.joiners.size) return state;
  return {
    ...state,
    joiners: new Map(joiners.map(j => [formatMemberKey(j.member), j])),
  };
}

function dropOldGrants(state: EntryState, nowMs: number): EntryState {
  const grants = [...state.grantUntilMs].filter(
    ([, untilMs]) => untilMs > nowMs,
  );
  if (grants.length === state.grantUntilMs.size) return state;
  return {...state, grantUntilMs: new Map(grants)};
}
