import {formatMemberKey, hasMember, type Member} from '../membership/member.js';
import type {EntryState} from './entry_state.js';
import type {RulesHead} from './head.js';

/** What gives an entry the right to serve. */
export type ServesBy = 'store' | 'peers' | 'none';

/**
 * Resolves whether an entry may dispatch at this moment. A member serves by a
 * fresh confirmation of the head. Without one, an entry serves while it hears
 * at least half of the members, of both lists if a change is undecided. A
 * guest counts only answers in which the member recorded the grant.
 *
 * @example
 * ```ts
 * resolveServingBasis(state, performance.now()); // 'store'
 * ```
 */
export function resolveServingBasis(
  state: EntryState,
  nowMs: number,
): ServesBy {
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
 * True when the entry belongs to the members before and after the undecided
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
  const fresh = list.map(formatMemberKey).filter(key => {
    if (key === selfKey) return isMember;
    const atMs = times.get(key);
    return atMs !== undefined && nowMs - atMs < state.options.freshnessMs;
  });
  return list.length > 0 && fresh.length * 2 >= list.length;
}
