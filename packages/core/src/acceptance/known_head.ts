import {formatMemberKey} from '../membership/member.js';
import {withLatest, withLatestAll, type EntryState} from './entry_state.js';
import {listDigests, type RulesHead} from './head.js';

/**
 * Sets the known head to a head that was read from the store, received from a
 * watch or reported by a peer. A head that is not newer than the known one
 * changes nothing, so the known sequence number never decreases.
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
  const updated: EntryState = {
    ...state,
    knownHead: head,
    pendingSeenAtMs: nowMs,
    ackedAtMs: new Map(),
    ackGrantUntilMs: new Map(),
  };
  return activateKnownHead(updated, nowMs);
}

/**
 * Records that the content of a digest is loaded, and activates the known head
 * if that was the last content it needed.
 *
 * @example
 * ```ts
 * addLoadedContent(state, digest, nowMs).active;
 * ```
 */
export function addLoadedContent(
  state: EntryState,
  digest: string,
  nowMs: number,
): EntryState {
  const loadedDigests = new Set(state.loadedDigests).add(digest);
  return activateKnownHead({...state, loadedDigests}, nowMs);
}

/**
 * Lists the digests that the known head needs and whose content is not loaded.
 *
 * @example
 * ```ts
 * listMissingDigests(state); // []
 * ```
 */
export function listMissingDigests(state: EntryState): readonly string[] {
  if (state.knownHead === undefined) return [];
  return listDigests(state.knownHead).filter(
    digest => !state.loadedDigests.has(digest),
  );
}

/**
 * Records that the store held `head` at some time after `sentAtMs`, when the
 * call to the store was sent.
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
  const updated = learnHead(state, head, nowMs);
  if (updated.activeHead?.sequence !== head.sequence) return updated;
  return withConfirmation(updated, sentAtMs);
}

/** Sets the time of the last confirmation, unless a later one is recorded. */
export function withConfirmation(state: EntryState, atMs: number): EntryState {
  const confirmedAtMs = Math.max(state.confirmedAtMs ?? atMs, atMs);
  return {...state, confirmedAtMs};
}

function activateKnownHead(state: EntryState, nowMs: number): EntryState {
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
