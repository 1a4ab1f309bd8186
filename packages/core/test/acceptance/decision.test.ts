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
  overrides: Partial<EntryState> = {},
): EntryState {
  return {
    ...createEntryState(MEMBERS[0], ACCEPTANCE_DEFAULTS),
    knownHead: head,
    activeHead: head,
    pendingSeenAtMs: SEEN_AT_MS,
    ackedAtMs: new Map(
      Object.entries(acks).map(([host, atMs]) => [`${host}/1`, atMs]),
    ),
    ...overrides,
  };
}

const LAST_ACK_MS = SEEN_AT_MS + 200;
const WAIT_END_MS = LAST_ACK_MS + freshnessMs + marginMs;
const MAJORITY_ACKS = {a: SEEN_AT_MS, b: SEEN_AT_MS, c: LAST_ACK_MS};
const ALL_ACKS = {...MAJORITY_ACKS, d: LAST_ACK_MS};
const GUEST_END_MS = LAST_ACK_MS + 3_000;
const GUEST_GRANT = {ackGrantUntilMs: new Map([['g/1', GUEST_END_MS]])};
const OTHER_ENTRY = {self: MEMBERS[1]};

const CASES = [
  {
    name: 'all members at once',
    acks: ALL_ACKS,
    nowMs: LAST_ACK_MS,
    kind: 'commit',
  },
  {
    name: 'a majority before the wait is over',
    acks: MAJORITY_ACKS,
    nowMs: WAIT_END_MS - 1,
    kind: undefined,
  },
  {
    name: 'a majority after the wait from its last acknowledgement',
    acks: MAJORITY_ACKS,
    nowMs: WAIT_END_MS,
    kind: 'commit',
  },
  {
    name: 'half of the members',
    acks: {a: SEEN_AT_MS, b: SEEN_AT_MS},
    nowMs: SEEN_AT_MS + abortAfterMs,
    kind: 'abort',
  },
  {
    name: 'half of the members, the others confirmed as stopped by the operator',
    acks: {a: SEEN_AT_MS, b: LAST_ACK_MS},
    vouchedHosts: ['c', 'd'],
    nowMs: WAIT_END_MS,
    kind: 'commit',
  },
  {
    name: 'all members before the grant of a guest has expired',
    acks: ALL_ACKS,
    overrides: GUEST_GRANT,
    nowMs: GUEST_END_MS,
    kind: undefined,
  },
  {
    name: 'all members after the grant of a guest has expired',
    acks: ALL_ACKS,
    overrides: GUEST_GRANT,
    nowMs: GUEST_END_MS + marginMs,
    kind: 'commit',
  },
  {
    name: 'all members and the guest itself',
    acks: {...ALL_ACKS, g: LAST_ACK_MS},
    overrides: GUEST_GRANT,
    nowMs: LAST_ACK_MS,
    kind: 'commit',
  },
  {
    name: 'another entry while the coordinator is not silent',
    acks: ALL_ACKS,
    overrides: OTHER_ENTRY,
    nowMs: SEEN_AT_MS + coordinatorSilenceMs - 1,
    kind: undefined,
  },
  {
    name: 'another entry after the coordinator fell silent',
    acks: ALL_ACKS,
    overrides: OTHER_ENTRY,
    nowMs: SEEN_AT_MS + coordinatorSilenceMs,
    kind: 'commit',
  },
];

for (const {name, acks, overrides, vouchedHosts, nowMs, kind} of CASES) {
  test(`decision with ${name}: ${kind ?? 'none yet'}`, () => {
    const head = propose(vouchedHosts);
    const decision = resolveDecision(createState(head, acks, overrides), nowMs);
    assert.equal(decision?.kind, kind);
  });
}

test('a decision is not applied to a head with another sequence number', () => {
  const head = propose();
  const decision = resolveDecision(createState(head, ALL_ACKS), LAST_ACK_MS);
  assert.ok(decision);
  assert.equal(applyDecision(decision, head)?.rules.revision, 3);
  assert.equal(applyDecision(decision, {...head, sequence: 9}), undefined);
});

test('an entry serves by the store until its confirmation reaches the maximum age', () => {
  const state = createState(BASE_HEAD, {}, {confirmedAtMs: 100});
  assert.equal(resolveServingBasis(state, 99 + freshnessMs), 'store');
  assert.equal(resolveServingBasis(state, 100 + freshnessMs), 'none');
});

test('an entry without a store serves while it hears at least half of the members', () => {
  const one = createState(BASE_HEAD, {}, {heardAtMs: new Map([['b/1', 100]])});
  assert.equal(resolveServingBasis(one, 101), 'peers');
  assert.equal(
    resolveServingBasis({...one, heardAtMs: new Map()}, 101),
    'none',
  );
});

test('an entry that is not a member never serves by the store', () => {
  const self = {...MEMBERS[0], incarnation: '2'};
  const overrides = {self, confirmedAtMs: 100};
  assert.equal(
    resolveServingBasis(createState(BASE_HEAD, {}, overrides), 101),
    'none',
  );
});

test('a refusal for a conflict states what the other operator changed', () => {
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

test('a value that is not a valid head is not parsed', () => {
  for (const value of ['', 'null', '{}', '{"sequence":1,"rules":{}}', '[1']) {
    assert.equal(parseHead(value), undefined, value);
  }
  assert.deepEqual(parseHead(JSON.stringify(BASE_HEAD)), BASE_HEAD);
});
