import {createHash} from 'node:crypto';
import type {MemberId} from '../types/identity.js';

/** One entry of the deployment, as recorded in the head. */
export interface Member extends MemberId {
  readonly failureDomain: string;
  /** `ip:port` at which the entry answers its peers. */
  readonly peerAddress: string;
}

/** The member lists of a head. */
export interface MemberLists {
  readonly members: readonly Member[];
  /** Members after the pending change; undefined without one. */
  readonly pendingMembers: readonly Member[] | undefined;
}

/**
 * Formats the identity of a member as a map key.
 *
 * @example
 * ```ts
 * formatMemberKey({host: 'h1', incarnation: 'a'}); // 'h1/a'
 * ```
 */
export function formatMemberKey(member: MemberId): string {
  return `${member.host}/${member.incarnation}`;
}

/**
 * Returns true when `candidate` is another incarnation of `member` at the same
 * address. A process can listen there only after the earlier one has ended.
 *
 * @example
 * ```ts
 * isSuccessor(member, {...member, incarnation: 'b'}); // true
 * ```
 */
export function isSuccessor(member: Member, candidate: Member): boolean {
  return (
    member.incarnation !== candidate.incarnation &&
    member.host === candidate.host &&
    member.failureDomain === candidate.failureDomain &&
    member.peerAddress === candidate.peerAddress
  );
}

/**
 * Returns true when the list has a member with this host and incarnation.
 *
 * @example
 * ```ts
 * hasMember(head.members, self);
 * ```
 */
export function hasMember(list: readonly Member[], member: MemberId): boolean {
  return list.some(
    m => m.host === member.host && m.incarnation === member.incarnation,
  );
}

/**
 * Merges both lists without duplicates. Every entry derives the same order
 * from the same head.
 *
 * @example
 * ```ts
 * createRoster({members: [a], pendingMembers: [a, b]}); // [a, b]
 * ```
 */
export function createRoster(lists: MemberLists): readonly Member[] {
  const added = (lists.pendingMembers ?? []).filter(
    m => !hasMember(lists.members, m),
  );
  return [...lists.members, ...added];
}

/**
 * Computes a digest of the member keys of a roster, in order.
 *
 * @example
 * ```ts
 * digestRoster(createRoster(lists)); // '9f86d081884c7d65'
 * ```
 */
export function digestRoster(roster: readonly Member[]): string {
  const text = roster.map(formatMemberKey).join('\n');
  return createHash('sha256').update(text).digest('hex').slice(0, 16);
}
