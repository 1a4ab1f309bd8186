import {formatMemberKey} from '../membership/member.js';
import {withLatest, withLatestAll, type EntryState} from './entry_state.js';
import {listDigests, type RulesHead} from './head.js';

/**
 * Takes in a head that was read, watched or told by a peer. An older or equal
 * one changes nothing, so that knowledge never goes back.
 *
 * @example
 * ```ts
 * learnHead(state, head, nowMs).known?.sequence;
 * ```
 */
export function learnHead(
  state: EntryState,
  head: RulesHead,
  nowMs: number,
): EntryState {
  if (
    state.knownHead !== undefined &&
    head.sequence <= state.knownHead.sequence
  ) {
    return state;
  }
  const learnt: EntryState = {
    ...state,
    knownHead: head,
    pendingSeenAtMs: nowMs,
    ackedAtMs: new Map(),
    ackGrantUntilMs: new Map(),
  };
  return activateKnown(learnt, nowMs);
}

/**
 * Records that the content of a digest is loaded.
 *
 * @example
 * ```ts
 * learnContent(state, digest, nowMs).active;
 * ```
 */
export function learnContent(
  state: EntryState,
  digest: string,
  nowMs: number,
): EntryState {
  const loaded = new Set(state.loaded).add(digest);
  return activateKnown({...state, loaded}, nowMs);
}

/**
 * Lists the digests that the known head needs and that are not loaded.
 *
 * @example
 * ```ts
 * listMissingDigests(state); // []
 * ```
 */
export function listMissingDigests(state: EntryState): readonly string[] {
  if (state.knownHead === undefined) return [];
  return listDigests(state.knownHead).filter(
    digest => !state.loaded.has(digest),
  );
}

/**
 * Records that the store held `head` at some time after `sentAtMs`, the time
 * at which the call was sent.
 *
 * @example
 * ```ts
 * confirmHead(state, head, sentAtMs, nowMs).confirmedAtMs;
 * ```
 */
export function confirmHead(
  state: EntryState,
  head: RulesHead,
  sentAtMs: number,
  nowMs: number,
): EntryState {
  const learnt = learnHead(state, head, nowMs);
  if (learnt.activeHead?.sequence !== head.sequence) return learnt;
  return withConfirmation(learnt, sentAtMs);
}

/** Moves the time of confirmation forward, never back. */
export function withConfirmation(state: EntryState, atMs: number): EntryState {
  const confirmedAtMs = Math.max(state.confirmedAtMs ?? atMs, atMs);
  return {...state, confirmedAtMs};
}

function activateKnown(state: EntryState, nowMs: number): EntryState {
  const {knownHead: known, activeHead: active} = state;
  if (known === undefined || active?.sequence === known.sequence) return state;
  if (listMissingDigests(state).length > 0) return state;
  return {
    ...state,
    activeHead: known,
    ackedAtMs: withLatest(state.ackedAtMs, formatMemberKey(state.self), nowMs),
    ackGrantUntilMs: withLatestAll(state.ackGrantUntilMs, state.grantUntilMs),
  };
}
