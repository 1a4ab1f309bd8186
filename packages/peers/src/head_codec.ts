import {
  digestRoster,
  type ChangeRecord,
  type Member,
  type PendingChange,
  type RulesHead,
  type RulesRef,
} from '@anvilrudder/core';
import {create} from '@bufbuild/protobuf';
import {
  PeerHeadSchema,
  type PeerHead,
  type PeerMember,
  type PeerPendingChange,
  type PeerRulesRef,
} from './gen/anvilrudder/v1/peer_pb.js';

/** How many decided changes travel with a head between entries. */
const TRAVELLING_CHANGE_COUNT = 4;

/** Finds the member list that a digest names. */
export type MembersLookup = (digest: string) => readonly Member[] | undefined;

/**
 * Encodes a head. The members are left out for a receiver that has them.
 *
 * @example
 * ```ts
 * encodeHead(head, report.membersDigest);
 * ```
 */
export function encodeHead(
  head: RulesHead,
  receiverMembersDigest: string,
): PeerHead {
  const membersDigest = digestRoster(head.members);
  const isKnown = membersDigest === receiverMembersDigest;
  return create(PeerHeadSchema, {
    sequence: head.sequence,
    rules: encodeRulesRef(head.rules),
    members: isKnown ? undefined : {members: head.members.map(encodeMember)},
    membersDigest: encodeDigest(membersDigest),
    pending:
      head.pending === undefined
        ? undefined
        : encodePending(head.pending, membersDigest),
    recent: head.recent.slice(-TRAVELLING_CHANGE_COUNT).map(encodeRecord),
  });
}

/**
 * Decodes a head.
 *
 * @returns undefined when it leaves out members that are not known here.
 * @example
 * ```ts
 * decodeHead(message, digest => membersByDigest.get(digest));
 * ```
 */
export function decodeHead(
  message: PeerHead,
  findMembers: MembersLookup,
): RulesHead | undefined {
  const members =
    message.members?.members.map(decodeMember) ??
    findMembers(decodeDigest(message.membersDigest));
  if (members === undefined || message.rules === undefined) return undefined;
  return {
    sequence: message.sequence,
    rules: decodeRulesRef(message.rules),
    members,
    pending:
      message.pending === undefined
        ? undefined
        : decodePending(message.pending, members),
    recent: message.recent.map(
      ({isAccepted, changeId, revision, who, why, reason, silentHosts}) => ({
        changeId,
        state: isAccepted ? 'accepted' : 'refused',
        revision,
        who,
        why,
        reason,
        silentHosts,
      }),
    ),
  };
}

/** Encodes a digest written in hexadecimal. */
export function encodeDigest(digest: string): Uint8Array<ArrayBuffer> {
  return Uint8Array.from(Buffer.from(digest, 'hex'));
}

/** Decodes a digest to hexadecimal. */
export function decodeDigest(bytes: Uint8Array): string {
  return Buffer.from(bytes).toString('hex');
}

/** Encodes the identity of a member. */
export function encodeMember(member: Member): Omit<PeerMember, '$typeName'> {
  const {host, incarnation, failureDomain, peerAddress} = member;
  return {host, incarnation, failureDomain, peerAddress};
}

/** Decodes the identity of a member. */
export function decodeMember(message: PeerMember): Member {
  const {host, incarnation, failureDomain, peerAddress} = message;
  return {host, incarnation, failureDomain, peerAddress};
}

function encodeRulesRef(rules: RulesRef): Omit<PeerRulesRef, '$typeName'> {
  return {revision: rules.revision, digest: encodeDigest(rules.digest)};
}

function decodeRulesRef(message: PeerRulesRef): RulesRef {
  return {revision: message.revision, digest: decodeDigest(message.digest)};
}

function encodePending(pending: PendingChange, membersDigest: string) {
  const hasSameMembers = digestRoster(pending.members) === membersDigest;
  return {
    changeId: pending.changeId,
    rules: encodeRulesRef(pending.rules),
    members: hasSameMembers
      ? undefined
      : {members: pending.members.map(encodeMember)},
    coordinatorHost: pending.coordinator.host,
    coordinatorIncarnation: pending.coordinator.incarnation,
    who: pending.who,
    why: pending.why,
    vouchedHosts: [...pending.vouchedHosts],
  };
}

function decodePending(
  message: PeerPendingChange,
  members: readonly Member[],
): PendingChange | undefined {
  if (message.rules === undefined) return undefined;
  return {
    changeId: message.changeId,
    rules: decodeRulesRef(message.rules),
    members: message.members?.members.map(decodeMember) ?? members,
    coordinator: {
      host: message.coordinatorHost,
      incarnation: message.coordinatorIncarnation,
    },
    who: message.who,
    why: message.why,
    vouchedHosts: message.vouchedHosts,
  };
}

function encodeRecord(record: ChangeRecord) {
  const {state, changeId, revision, who, why, reason, silentHosts} = record;
  return {
    changeId,
    isAccepted: state === 'accepted',
    revision,
    who,
    why,
    reason,
    silentHosts: [...silentHosts],
  };
}
