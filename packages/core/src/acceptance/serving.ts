import {formatMemberKey, hasMember, type Member} from '../membership/member.js';
import type {EntryState} from './entry_state.js';
import type {RulesHead} from './head.js';

/** What an entry's right to serve is based on. */
export type ServingBasis = 'store' | 'peers' | 'none';

/**
 * Determines whether an entry may dispatch requests now, and on what basis. A
 * full member may serve while the last confirmation of its head by the store is
 * younger than `freshnessMs`. Otherwise an entry may serve while at least half
 * of the members were heard within `freshnessMs`; while a change is pending,
 * this has to hold for both member lists. For a guest, only answers in which
 * the member recorded a grant count.
 *
 * @example
 * ```ts
 * resolveServingBasis(state, performance.now()); // 'store'
 * ```
 */
export function resolveServingBasis(
  state: EntryState,
  nowMs: number,
): ServingBasis {
  const {activeHead: active, confirmedAtMs, options} = state;
  if (active === undefined) return 'none';
  const isMember = isFullMember(state);
  const isConfirmed =
    confirmedAtMs !== undefined && nowMs - confirmedAtMs < options.freshnessMs;
  if (isMember && isConfirmed) return 'store';
  const hearsHalf = listMemberLists(active).every(list =>
    hasFreshHalf(state, list, isMember, nowMs),
  );
  return hearsHalf ? 'peers' : 'none';
}

/**
 * Returns true when the entry is a member both before and after the pending
 * change, so that every decision waits for it.
 *
 * @example
 * ```ts
 * isFullMember(state);
 * ```
 */
export function isFullMember(state: EntryState): boolean {
  const {activeHead: active, self} = state;
  if (active === undefined) return false;
  return listMemberLists(active).every(list => hasMember(list, self));
}

function listMemberLists(head: RulesHead): ReadonlyArray<readonly Member[]> {
  if (head.pending === undefined) return [head.members];
  return [head.members, head.pending.members];
}

function hasFreshHalf(
  state: EntryState,
  list: readonly Member[],
  isMember: boolean,
  nowMs: number,
): boolean {
  const selfKey = formatMemberKey(state.self);
  const times = isMember ? state.heardAtMs : state.grantedAtMs;
  const freshKeys = list.map(formatMemberKey).filter(key => {
    if (key === selfKey) return isMember;
    const atMs = times.get(key);
    return atMs !== undefined && nowMs - atMs < state.options.freshnessMs;
  });
  return list.length > 0 && freshKeys.length * 2 >= list.length;
}
