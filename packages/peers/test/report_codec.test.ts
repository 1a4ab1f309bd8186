import {digestRoster, type PeerReport, type RulesHead} from '@anvilrudder/core';
import {fromBinary, toBinary} from '@bufbuild/protobuf';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PeerReportSchema} from '../src/gen/anvilrudder/v1/peer_pb.js';
import {decodeReport, encodeReport, readMembersDigest} from '../src/index.js';

const AGE_UNIT_MS = 30;

function createMember(index: number) {
  return {
    host: `entry-${index}`,
    incarnation: `run-${index}`,
    failureDomain: `domain-${index % 4}`,
    peerAddress: `10.0.${index % 256}.1:7400`,
  };
}

function createHead(memberCount: number): RulesHead {
  const members = Array.from({length: memberCount}, (_, i) => createMember(i));
  return {
    sequence: 9,
    rules: {revision: 3, digest: 'ab'.repeat(32)},
    members,
    pending: {
      changeId: 'c-1',
      rules: {revision: 4, digest: 'cd'.repeat(32)},
      members: members.slice(1),
      coordinator: {host: 'entry-0', incarnation: 'run-0'},
      who: 'operator',
      why: 'withdraw quick@v3',
      vouchedHosts: ['entry-0'],
    },
    recent: [
      {
        changeId: 'c-0',
        state: 'refused',
        revision: 4,
        who: 'operator',
        why: 'a trial',
        reason: 'No majority.',
        silentHosts: ['entry-1'],
      },
    ],
  };
}

function createReport(head: RulesHead | undefined, count: number): PeerReport {
  return {
    sender: createMember(0),
    knownSequence: 9,
    activeSequence: 8,
    head,
    rosterDigest: '0123456789abcdef',
    confirmedAgeMs: 120,
    memberAgesMs: Array.from({length: count}, (_, i) =>
      i % 3 === 0 ? undefined : i * AGE_UNIT_MS,
    ),
    acked: Array.from({length: count}, (_, i) => i % 2 === 0),
    ackGrants: [{guestKey: 'entry-9/run-1', remainingMs: 70}],
    isGuest: true,
    isGuestGrant: false,
    isLeaving: false,
  };
}

test('a report with a head and a pending change is decoded unchanged', () => {
  const head = createHead(8);
  const report = createReport(head, 8);
  const message = encodeReport(report, {
    receiverMembersDigest: '',
    membersDigest: digestRoster(head.members),
    ageUnitMs: AGE_UNIT_MS,
  });
  const bytes = toBinary(PeerReportSchema, message);
  const decoded = decodeReport(
    fromBinary(PeerReportSchema, bytes),
    () => undefined,
  );
  assert.deepEqual(decoded, report);
  assert.equal(readMembersDigest(message), digestRoster(head.members));
});

test('members that the receiver has are omitted, and must be found to decode the head', () => {
  const head = createHead(4);
  const digest = digestRoster(head.members);
  const message = encodeReport(createReport(head, 4), {
    receiverMembersDigest: digest,
    membersDigest: digest,
    ageUnitMs: AGE_UNIT_MS,
  });
  assert.equal(message.head?.members, undefined);
  const decodedWithoutMembers = decodeReport(message, () => undefined);
  assert.equal(decodedWithoutMembers?.head, undefined);
  assert.equal(decodedWithoutMembers?.knownSequence, 9);
  const decodedWithMembers = decodeReport(message, d =>
    d === digest ? head.members : undefined,
  );
  assert.deepEqual(decodedWithMembers?.head, head);
});

test('an age is never decoded as less than it was', () => {
  const report = {...createReport(undefined, 0), memberAgesMs: [31, 1e9, 0]};
  const message = encodeReport(report, {
    receiverMembersDigest: '',
    membersDigest: '',
    ageUnitMs: AGE_UNIT_MS,
  });
  const decoded = decodeReport(message, () => undefined);
  assert.deepEqual(decoded?.memberAgesMs, [60, undefined, 0]);
});

test('a report on 360 members without a head takes less than 600 bytes', context => {
  const message = encodeReport(createReport(undefined, 360), {
    receiverMembersDigest: '',
    membersDigest: '0123456789abcdef',
    ageUnitMs: AGE_UNIT_MS,
  });
  const {length} = toBinary(PeerReportSchema, message);
  context.diagnostic(`${length} bytes for 360 members`);
  assert.ok(length < 600, `${length} bytes`);
});
