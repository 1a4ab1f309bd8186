import {
  formatMemberKey,
  hasMember,
  isSuccessor,
  type Member,
} from './member.js';

/** What an entry knows that bears on the member list. */
export interface MembershipFacts {
  readonly members: readonly Member[];
  /** Running entries that are not members yet. */
  readonly joiners: readonly Member[];
  /** Keys of members that were silent for too long. */
  readonly lostKeys: ReadonlySet<string>;
  /** Hosts that the operator or a leaving entry takes out. */
  readonly withoutHosts: readonly string[];
}

/**
 * Resolves the member list that the next change should install: joiners are
 * added; lost members, members with a successor and excluded hosts go.
 *
 * @example
 * ```ts
 * resolveMembers({members, joiners: [d], lostKeys, withoutHosts: []});
 * ```
 */
export function resolveMembers(facts: MembershipFacts): readonly Member[] {
  const {members, joiners, lostKeys, withoutHosts} = facts;
  const kept = members.filter(
    member =>
      !lostKeys.has(formatMemberKey(member)) &&
      !withoutHosts.includes(member.host) &&
      !joiners.some(joiner => isSuccessor(member, joiner)),
  );
  const added = joiners.filter(
    joiner =>
      !hasMember(members, joiner) && !withoutHosts.includes(joiner.host),
  );
  return [...kept, ...added].sort(compareMembers);
}

/**
 * True when both lists hold the same runs of the same hosts.
 *
 * @example
 * ```ts
 * isSameMembers([a, b], [b, a]); // true
 * ```
 */
export function isSameMembers(
  left: readonly Member[],
  right: readonly Member[],
): boolean {
  return left.length === right.length && left.every(m => hasMember(right, m));
}

function compareMembers(a: Member, b: Member): number {
  const left = formatMemberKey(a);
  const right = formatMemberKey(b);
  if (left === right) return 0;
  return left < right ? -1 : 1;
}
