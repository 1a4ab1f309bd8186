import {digestRoster, type PeerReport} from '@anvilrudder/core';
import {create} from '@bufbuild/protobuf';
import {
  PeerReportSchema,
  type PeerReport as PeerReportMessage,
} from './gen/anvilrudder/v1/peer_pb.js';
import {
  decodeDigest,
  decodeHead,
  decodeMember,
  encodeDigest,
  encodeHead,
  encodeMember,
  type MembersLookup,
} from './head_codec.js';

/** The age byte of a member that was not heard. */
const NOT_HEARD = 255;
const BITS_PER_BYTE = 8;

/** How a report is encoded for its receiver. */
export interface EncodeReportOptions {
  /** Digest of the members that the receiver has; empty if not known. */
  readonly receiverMembersDigest: string;
  /** Digest of the sender's known members. */
  readonly membersDigest: string;
  readonly ageUnitMs: number;
}

/**
 * Encodes a report; ages are rounded up, so that none looks fresher.
 *
 * @example
 * ```ts
 * encodeReport(report, {receiverMembersDigest: '', membersDigest, ageUnitMs: 30});
 * ```
 */
export function encodeReport(
  report: PeerReport,
  options: EncodeReportOptions,
): PeerReportMessage {
  const {receiverMembersDigest, membersDigest, ageUnitMs} = options;
  const {head, confirmedAgeMs} = report;
  return create(PeerReportSchema, {
    sender: encodeMember(report.sender),
    knownSequence: report.knownSequence,
    activeSequence: report.activeSequence,
    head:
      head === undefined ? undefined : encodeHead(head, receiverMembersDigest),
    rosterDigest: encodeDigest(report.rosterDigest),
    confirmedAgeMs:
      confirmedAgeMs === undefined ? undefined : Math.ceil(confirmedAgeMs),
    memberAges: encodeAges(report.memberAgesMs, ageUnitMs),
    ageUnitMs,
    acked: encodeBits(report.acked),
    ackGrants: report.ackGrants.map(({guestKey, remainingMs}) => ({
      guestKey,
      remainingMs: Math.ceil(remainingMs),
    })),
    isGuest: report.isGuest,
    isGuestGrant: report.isGuestGrant,
    isLeaving: report.isLeaving,
    membersDigest: encodeDigest(membersDigest),
  });
}

/**
 * Decodes a report. A head whose members are not known here is left out; the
 * sender's known sequence still tells that there is a newer one.
 *
 * @returns undefined when the report names no sender.
 * @example
 * ```ts
 * decodeReport(message, digest => membersByDigest.get(digest));
 * ```
 */
export function decodeReport(
  message: PeerReportMessage,
  findMembers: MembersLookup,
): PeerReport | undefined {
  if (message.sender === undefined) return undefined;
  return {
    sender: decodeMember(message.sender),
    knownSequence: message.knownSequence,
    activeSequence: message.activeSequence,
    head:
      message.head === undefined
        ? undefined
        : decodeHead(message.head, findMembers),
    rosterDigest: decodeDigest(message.rosterDigest),
    confirmedAgeMs: message.confirmedAgeMs,
    memberAgesMs: [...message.memberAges].map(age =>
      age === NOT_HEARD ? undefined : age * message.ageUnitMs,
    ),
    acked: decodeBits(message.acked),
    ackGrants: message.ackGrants.map(({guestKey, remainingMs}) => ({
      guestKey,
      remainingMs,
    })),
    isGuest: message.isGuest,
    isGuestGrant: message.isGuestGrant,
    isLeaving: message.isLeaving,
  };
}

/**
 * Reads the digest of the members that the sender of a report has.
 *
 * @example
 * ```ts
 * readMembersDigest(message); // '9f86d081884c7d65'
 * ```
 */
export function readMembersDigest(message: PeerReportMessage): string {
  return decodeDigest(message.membersDigest);
}

/**
 * Digest of the members of a report's sender, as other entries look it up.
 *
 * @example
 * ```ts
 * digestMembers(head.members);
 * ```
 */
export const digestMembers = digestRoster;

function encodeAges(
  agesMs: ReadonlyArray<number | undefined>,
  ageUnitMs: number,
): Uint8Array<ArrayBuffer> {
  return Uint8Array.from(agesMs, ageMs => {
    if (ageMs === undefined) return NOT_HEARD;
    return Math.min(NOT_HEARD, Math.ceil(ageMs / ageUnitMs));
  });
}

function encodeBits(flags: readonly boolean[]): Uint8Array<ArrayBuffer> {
  const bytes = new Uint8Array(Math.ceil(flags.length / BITS_PER_BYTE));
  flags.forEach((flag, index) => {
    if (!flag) return;
    bytes[Math.floor(index / BITS_PER_BYTE)] |= 1 << (index % BITS_PER_BYTE);
  });
  return bytes;
}

function decodeBits(bytes: Uint8Array): readonly boolean[] {
  return [...bytes].flatMap(byte =>
    Array.from(
      {length: BITS_PER_BYTE},
      (_, index) => (byte & (1 << index)) !== 0,
    ),
  );
}
