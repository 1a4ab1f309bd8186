import {
  formatMemberKey,
  hasMember,
  isSuccessor,
  type Member,
} from './member.js';

/** The inputs of {@link resolveMembers}. */
export interface MembershipInputs {
  readonly members: readonly Member[];
  /** Running entries that are not members yet. */
  readonly joiners: readonly Member[];
  /** Member keys of members that were silent for too long. */
  readonly lostKeys: ReadonlySet<string>;
  /** Hosts to remove, as asked by the operator or by a leaving entry. */
  readonly withoutHosts: readonly string[];
}

/**
 * Computes the member list to propose next: joiners are added; lost members,
 * members with a successor and the members on `withoutHosts` are removed.
 *
 * @example
 * ```ts
 * resolveMembers({members, joiners: [d], lostKeys, withoutHosts: []});
 * ```
 */
export function resolveMembers(inputs: MembershipInputs): readonly Member[] {
  const {members, joiners, lostKeys, withoutHosts} = inputs;
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
 * Returns true when both lists have the same members, in any order.
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
