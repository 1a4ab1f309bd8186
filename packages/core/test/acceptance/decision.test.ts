import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  ACCEPTANCE_DEFAULTS,
  applyDecision,
  createEntryState,
  createProposal,
  parseHead,
  resolveDecision,
  resolveServingBasis,
  type EntryState,
  type Member,
  type RulesHead,
} from '../../src/index.js';

const {freshnessMs, marginMs, abortAfterMs, coordinatorSilenceMs} =
  ACCEPTANCE_DEFAULTS;
const SEEN_AT_MS = 1_000;
const MEMBERS = ['a', 'b', 'c', 'd'].map((host): Member => ({
  host,
  incarnation: '1',
  failureDomain: 'd',
  peerAddress: `${host}:1`,
}));

const BASE_HEAD: RulesHead = {
  sequence: 5,
  rules: {revision: 2, digest: 'r2'},
  members: MEMBERS,
  pending: undefined,
  recent: [],
};

function propose(vouchedHosts: readonly string[] = []): RulesHead {
  const result = createProposal(BASE_HEAD, {
    changeId: 'c-1',
    digest: 'r3',
    baseRevision: 2,
    members: MEMBERS.filter(m => !vouchedHosts.includes(m.host)),
    coordinator: MEMBERS[0],
    who: 'w',
    why: 'y',
    vouchedHosts,
  });
  assert.equal(result.kind, 'proposed');
  return result.kind === 'proposed' ? result.next : BASE_HEAD;
}

function createState(
  head: RulesHead,
  acks: Readonly<Record<string, number>>,
  more: Partial<EntryState> = {},
): EntryState {
  return {
    ...createEntryState(MEMBERS[0], ACCEPTANCE_DEFAULTS),
    knownHead: head,
    activeHead: head,
    pendingSeenAtMs: SEEN_AT_MS,
    ackedAtMs: new Map(
      Object.entries(acks).map(([host, atMs]) => [`${host}/1`, atMs]),
    ),
    ...more,
  };
}

const LATE_MS = SEEN_AT_MS + 200;
const WAITED_MS = LATE_MS + freshnessMs + marginMs;
const MAJORITY = {a: SEEN_AT_MS, b: SEEN_AT_MS, c: LATE_MS};
const ALL = {...MAJORITY, d: LATE_MS};
const GUEST_END_MS = LATE_MS + 3_000;
const GUEST = {ackGrantUntilMs: new Map([['g/1', GUEST_END_MS]])};
const OTHER = {self: MEMBERS[1]};

const CASES = [
  {name: 'all members at once', acks: ALL, nowMs: LATE_MS, kind: 'commit'},
  {
    name: 'a majority before the wait is over',
    acks: MAJORITY,
    nowMs: WAITED_MS - 1,
    kind: undefined,
  },
  {
    name: 'a majority after the wait from its last acknowledgement',
    acks: MAJORITY,
    nowMs: WAITED_MS,
    kind: 'commit',
  },
  {
    name: 'half of the members',
    acks: {a: SEEN_AT_MS, b: SEEN_AT_MS},
    nowMs: SEEN_AT_MS + abortAfterMs,
    kind: 'abort',
  },
  {
    name: 'half of the members, the others vouched for',
    acks: {a: SEEN_AT_MS, b: LATE_MS},
    vouchedHosts: ['c', 'd'],
    nowMs: WAITED_MS,
    kind: 'commit',
  },
  {
    name: 'all members while a guest may serve',
    acks: ALL,
    more: GUEST,
    nowMs: GUEST_END_MS,
    kind: undefined,
  },
  {
    name: 'all members after the guest has ended',
    acks: ALL,
    more: GUEST,
    nowMs: GUEST_END_MS + marginMs,
    kind: 'commit',
  },
  {
    name: 'all members and the guest itself',
    acks: {...ALL, g: LATE_MS},
    more: GUEST,
    nowMs: LATE_MS,
    kind: 'commit',
  },
  {
    name: 'another entry while the coordinator is not silent',
    acks: ALL,
    more: OTHER,
    nowMs: SEEN_AT_MS + coordinatorSilenceMs - 1,
    kind: undefined,
  },
  {
    name: 'another entry after the coordinator fell silent',
    acks: ALL,
    more: OTHER,
    nowMs: SEEN_AT_MS + coordinatorSilenceMs,
    kind: 'commit',
  },
];

for (const {name, acks, more, vouchedHosts, nowMs, kind} of CASES) {
  test(`decision with ${name}: ${kind ?? 'none yet'}`, () => {
    const head = propose(vouchedHosts);
    const decision = resolveDecision(createState(head, acks, more), nowMs);
    assert.equal(decision?.kind, kind);
  });
}

test('a decision is not applied to a head that moved on', () => {
  const head = propose();
  const decision = resolveDecision(createState(head, ALL), LATE_MS);
  assert.ok(decision);
  assert.equal(applyDecision(decision, head)?.rules.revision, 3);
  assert.equal(applyDecision(decision, {...head, sequence: 9}), undefined);
});

test('an entry serves by the store below the bound and not at it', () => {
  const state = createState(BASE_HEAD, {}, {confirmedAtMs: 100});
  assert.equal(resolveServingBasis(state, 99 + freshnessMs), 'store');
  assert.equal(resolveServingBasis(state, 100 + freshnessMs), 'none');
});

test('an entry without a store serves with half of the members and not fewer', () => {
  const one = createState(BASE_HEAD, {}, {heardAtMs: new Map([['b/1', 100]])});
  assert.equal(resolveServingBasis(one, 101), 'peers');
  assert.equal(
    resolveServingBasis({...one, heardAtMs: new Map()}, 101),
    'none',
  );
});

test('an entry that is not a member never serves by the store', () => {
  const self = {...MEMBERS[0], incarnation: '2'};
  const more = {self, confirmedAtMs: 100};
  assert.equal(
    resolveServingBasis(createState(BASE_HEAD, {}, more), 101),
    'none',
  );
});

test('a conflict tells what the other operator changed', () => {
  const record = {
    changeId: 'c-0',
    state: 'accepted',
    revision: 2,
    who: 'min',
    why: 'withdraw quick@v3',
    reason: '',
    silentHosts: [],
  } as const;
  const head = {...BASE_HEAD, recent: [record]};
  const result = createProposal(head, {
    changeId: 'c-1',
    digest: 'r3',
    baseRevision: 1,
    members: MEMBERS,
    coordinator: MEMBERS[0],
    who: 'w',
    why: 'y',
    vouchedHosts: [],
  });
  assert.equal(result.kind, 'refused');
  assert.match(JSON.stringify(result), /revision 2 by min: withdraw quick@v3/);
});

test('a value that is no head is not parsed as one', () => {
  for (const value of ['', 'null', '{}', '{"sequence":1,"rules":{}}', '[1']) {
    assert.equal(parseHead(value), undefined, value);
  }
  assert.deepEqual(parseHead(JSON.stringify(BASE_HEAD)), BASE_HEAD);
});
