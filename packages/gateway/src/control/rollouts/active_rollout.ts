import {
  HeldSessions,
  RolloutPlan,
  VersionEvidence,
  type RolloutBounds,
  type RolloutOrder,
  type RolloutPhase,
  type RolloutSide,
  type RolloutState,
  type SessionUse,
} from '@anvilrudder/core';
import type {VersionBasis, VersionKey} from './version_selector.js';

/** A rollout that an operator has ordered, as known to this host. */
export interface ActiveRollout {
  plan: RolloutPlan;
  /** Undefined until the store has delivered the order in its current era. */
  revision: number | undefined;
  /** Final state that the store may have lost, to be written again. */
  lostState: RolloutState | undefined;
  readonly evidence: VersionEvidence;
  readonly heldSessions: HeldSessions;
  /** No session is sampled before the hosts have told each other of theirs. */
  readonly sampleSessionsAfterMs: number;
  lastPhase: RolloutPhase | undefined;
  /** Answers of the new version when all work moved to it. */
  answersBeforeShift: number;
  /** A host has judged the new version bad, whether written yet or not. */
  isNewVersionBad: boolean;
  isWriting: boolean;
  /** The last write got no answer. */
  isStoreSilent: boolean;
  /** Earliest time of the next state write. */
  writeAfterMs: number;
  /** When this host writes the progress, unless another host does so before. */
  progressAfterMs: number;
}

/**
 * Time in which the hosts tell each other of the sessions that they have seen on
 * the old version, also those that receive the order a little later.
 */
const SESSION_EXCHANGE_MS = 1500;

/** What is known of an order when a host begins to follow it. */
export interface NewRollout {
  readonly order: RolloutOrder;
  /** Undefined if another host has told of the order. */
  readonly revision: number | undefined;
  readonly bounds: RolloutBounds;
  readonly nowMs: number;
  readonly progressAfterMs: number;
}

/** Creates the state of a rollout that this host begins to follow. */
export function createActiveRollout({
  order,
  revision,
  bounds,
  nowMs,
  progressAfterMs,
}: NewRollout): ActiveRollout {
  return {
    plan: RolloutPlan.create(order, nowMs, bounds),
    revision,
    lostState: undefined,
    evidence: VersionEvidence.create(),
    heldSessions: HeldSessions.create(),
    sampleSessionsAfterMs: nowMs + SESSION_EXCHANGE_MS,
    lastPhase: undefined,
    answersBeforeShift: 0,
    isNewVersionBad: false,
    isWriting: false,
    isStoreSilent: false,
    writeAfterMs: nowMs,
    progressAfterMs,
  };
}

/** The side of a request, and why. */
export interface SideChoice {
  readonly side: RolloutSide;
  readonly basis: VersionBasis;
}

/** A version may be bad only under the load of all requests. */
const MIN_ANSWERS_SINCE_SHIFT = 8;

/** Answers that show whether half of them fail, though some of the old ones did. */
const ANSWERS_TO_JUDGE = 30;

/** Side of all new requests; undefined if it depends on the request. */
const SIDE_BY_PHASE: Readonly<Record<RolloutPhase, RolloutSide | undefined>> = {
  sampling: undefined,
  shifting: 'new',
  succeeded: 'new',
  rolledBack: 'old',
};

/**
 * Chooses the side of a request: all to the old one when the new version is bad,
 * or to the side of the phase; while sampling, a share goes to the new version.
 */
export function chooseRolloutSide(
  rollout: ActiveRollout,
  key: VersionKey,
  nowMs: number,
): SideChoice {
  const {plan, evidence} = rollout;
  const {phase} = plan;
  // The state may not be written yet, since the store may be unavailable.
  if (rollout.isNewVersionBad && phase !== 'succeeded')
    return {side: 'old', basis: 'foundBad'};
  const fixed = SIDE_BY_PHASE[phase];
  if (fixed !== undefined) return {side: fixed, basis: 'phase'};
  const {previousVersion, session, stickyKey} = key;
  if (previousVersion !== undefined) {
    if (evidence.isSuspect()) return {side: 'old', basis: 'suspected'};
    return {side: sideOf(rollout, previousVersion), basis: 'sameRequest'};
  }
  if (!plan.isSampled(session ?? stickyKey))
    return {side: 'old', basis: 'notSampled'};
  if (session !== undefined && isHeld(rollout, session, nowMs))
    return {side: 'old', basis: 'held'};
  return {side: 'new', basis: 'sampled'};
}

/**
 * True if a request of the old version must not go to the new one although no
 * server of the old one is left. A bad version gets none; one that has not proven
 * good gets its sample, what was sent once already, and a few requests without a
 * session, so that it is judged soon.
 */
export function mustKeepOldVersion(
  {isNewVersionBad, plan, evidence}: ActiveRollout,
  {previousVersion, session}: VersionKey,
): boolean {
  if (plan.phase === 'succeeded') return false;
  if (isNewVersionBad || plan.phase === 'rolledBack') return true;
  if (previousVersion !== undefined) return false;
  const assessment = evidence.assess();
  if (assessment !== 'unknown') return assessment === 'suspect';
  const mayMove = session === undefined || !plan.holdsSessions;
  return !mayMove || evidence.countRequests('new') >= ANSWERS_TO_JUDGE;
}

/** True for a sampled session that may have begun on the old version. */
function isHeld(
  {plan, heldSessions, sampleSessionsAfterMs}: ActiveRollout,
  session: string,
  nowMs: number,
): boolean {
  if (!plan.holdsSessions) return false;
  return (
    nowMs < sampleSessionsAfterMs ||
    heldSessions.isFull ||
    heldSessions.has(plan.hashKey(session))
  );
}

/** Holds a sampled session that was seen on the old version. */
export function holdSession(
  {plan, heldSessions}: ActiveRollout,
  {session, version}: SessionUse,
): void {
  if (!plan.holdsSessions || version === plan.order.target) return;
  const hash = plan.hashKey(session);
  if (plan.isHashSampled(hash)) heldSessions.hold(hash);
}

/** Finds the state that a host has to write to the store now, if any. */
export function findDueState(
  rollout: ActiveRollout,
  phase: RolloutPhase,
  nowMs: number,
): RolloutState | undefined {
  if (rollout.lostState !== undefined) return rollout.lostState;
  if (phase === 'succeeded' || phase === 'rolledBack') return undefined;
  rollout.isNewVersionBad ||= isNewVersionBad(rollout, phase);
  if (rollout.isNewVersionBad) return 'rolledBack';
  if (phase === 'shifting' && maySucceed(rollout, nowMs)) return 'succeeded';
  return nowMs >= rollout.progressAfterMs ? 'running' : undefined;
}

/**
 * Whether the new version has proven good. The absence of a finding does not
 * suffice, as this host may know few answers.
 */
function maySucceed(
  {plan, evidence, answersBeforeShift}: ActiveRollout,
  nowMs: number,
): boolean {
  if (plan.isOverdue(nowMs)) return !evidence.isSuspect();
  const answers = evidence.countRequests('new') - answersBeforeShift;
  return (
    plan.isSuccessDue(nowMs) &&
    answers >= MIN_ANSWERS_SINCE_SHIFT &&
    evidence.isSufficientForSuccess()
  );
}

/** A version that only looks slow must not receive all requests either. */
function isNewVersionBad(
  {evidence}: ActiveRollout,
  phase: RolloutPhase,
): boolean {
  if (evidence.findRegression() !== undefined) return true;
  return phase === 'shifting' && evidence.looksSlow();
}

/** True for the states that end a rollout. */
export function isFinalState(state: RolloutState | undefined): boolean {
  return state === 'succeeded' || state === 'rolledBack';
}

/** Final state of a rollout at this host, whether it is written or not. */
export function resolveFinalState({
  plan,
  isNewVersionBad,
}: ActiveRollout): RolloutState | undefined {
  const {state} = plan.order;
  if (isFinalState(state)) return state;
  return isNewVersionBad ? 'rolledBack' : undefined;
}

/** Side of a software version in a rollout. */
export function sideOf(rollout: ActiveRollout, version: string): RolloutSide {
  return version === rollout.plan.order.target ? 'new' : 'old';
}
