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

/** Maximum number of decided changes in an encoded head. */
const MAX_ENCODED_CHANGES = 4;

/** Finds the member list with a given digest, if it is known. */
export type MembersLookup = (digest: string) => readonly Member[] | undefined;

/**
 * Encodes a head. The members are omitted if the receiver already has them.
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
  const receiverHasMembers = membersDigest === receiverMembersDigest;
  return create(PeerHeadSchema, {
    sequence: head.sequence,
    rules: encodeRulesRef(head.rules),
    members: receiverHasMembers
      ? undefined
      : {members: head.members.map(encodeMember)},
    membersDigest: encodeDigest(membersDigest),
    pending:
      head.pending === undefined
        ? undefined
        : encodePendingChange(head.pending, membersDigest),
    recent: head.recent.slice(-MAX_ENCODED_CHANGES).map(encodeChangeRecord),
  });
}

/**
 * Decodes a head.
 *
 * @returns undefined when the message omits the rules, or omits members that
 *   `findMembers` does not find.
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
        : decodePendingChange(message.pending, members),
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

/** Encodes a hexadecimal digest as bytes. */
export function encodeDigest(digest: string): Uint8Array<ArrayBuffer> {
  return Uint8Array.from(Buffer.from(digest, 'hex'));
}

/** Decodes a digest to its hexadecimal form. */
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

function encodePendingChange(pending: PendingChange, membersDigest: string) {
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

function decodePendingChange(
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

function encodeChangeRecord(record: ChangeRecord) {
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
