import {createHash} from 'node:crypto';
import {formatMemberKey, type Member, type RulesHead} from '@anvilrudder/core';

/** Number of head updates after which the watchers are selected anew. */
const WATCH_EPOCH_LENGTH = 64;

/**
 * Selects up to `count` distinct values at random.
 *
 * @example
 * ```ts
 * selectRandom(['a', 'b', 'c'], 2, Math.random); // ['c', 'a']
 * ```
 */
export function selectRandom<Value>(
  values: readonly Value[],
  count: number,
  random: () => number,
): readonly Value[] {
  const rest = [...new Set(values)];
  const selected: Value[] = [];
  while (selected.length < count && rest.length > 0) {
    const index = Math.floor(random() * rest.length);
    selected.push(...rest.splice(index, 1));
  }
  return selected;
}

/**
 * Selects the members that watch the head at the store, by rendezvous hashing:
 * those with the lowest hashes of epoch and member. Each epoch selects anew, so
 * that the load is spread over the members.
 *
 * @example
 * ```ts
 * selectWatchers(head, 3).map(member => member.host);
 * ```
 */
export function selectWatchers(
  head: RulesHead,
  count: number,
): readonly Member[] {
  const epoch = Math.floor(head.sequence / WATCH_EPOCH_LENGTH);
  return head.members
    .map(member => ({member, rank: rankMember(member, epoch)}))
    .sort((a, b) => a.rank.localeCompare(b.rank))
    .slice(0, count)
    .map(({member}) => member);
}

function rankMember(member: Member, epoch: number): string {
  const text = `${epoch}/${formatMemberKey(member)}`;
  return createHash('sha256').update(text).digest('hex');
}
