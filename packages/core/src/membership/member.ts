import {createHash} from 'node:crypto';
import type {MemberId} from '../types/identity.js';

/** One entry of the deployment, as recorded in the head. */
export interface Member extends MemberId {
  readonly failureDomain: string;
  /** `ip:port` at which the entry answers its peers. */
  readonly peerAddress: string;
}

/** The member lists that count while a head is in force. */
export interface MemberLists {
  readonly members: readonly Member[];
  /** Members after the undecided change, where there is one. */
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
 * True when `candidate` is a later run of `member` at the same address. A
 * process can listen there only after the earlier one has ended.
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
 * True when the list has this run of this host.
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
 * Lists the members of both lists once, in an order that every entry derives
 * alike from the same head.
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
 * Digest of the identities of a roster, in order.
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
