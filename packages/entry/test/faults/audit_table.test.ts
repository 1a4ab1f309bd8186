import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {AuditRecord} from '@anvilrudder/core';
import {createAuditTrail} from '../../src/control/audit/audit_trail.js';
import {
  MemoryObjectStore,
  type ScriptedFault,
} from '../support/memory_object_store.js';

function createRecord(id: string, who = 'mina'): AuditRecord {
  return {
    id,
    timeMs: 1,
    host: 'entry-1',
    action: 'rules.apply',
    who,
    why: 'withdraw a bad version',
    beforeRevision: 4,
    afterRevision: 5,
    outcome: 'accepted',
  };
}

function createTrail(store: MemoryObjectStore) {
  return createAuditTrail({store, firstRetryMs: 1, maxRetryMs: 2});
}

interface FaultCase {
  readonly fault: string;
  readonly storeFaults: readonly ScriptedFault[];
}

const CASES: readonly FaultCase[] = [
  {fault: 'no fault', storeFaults: []},
  {
    fault: 'an append takes effect and its response is lost',
    storeFaults: [{method: 'put', fault: 'answerLost'}],
  },
  {
    fault: 'an append takes effect and all its responses are lost',
    storeFaults: [1, 2, 3, 4].map(() => ({method: 'put', fault: 'answerLost'})),
  },
  {
    fault: 'the request of an append is lost',
    storeFaults: [{method: 'put', fault: 'requestLost'}],
  },
  {
    fault: 'the store is unavailable for a while',
    storeFaults: [1, 2, 3].map(() => ({fault: 'refused'})),
  },
  {
    fault: 'the end of the audit trail cannot be read',
    storeFaults: [{method: 'list', fault: 'refused'}],
  },
];

for (const testCase of CASES) {
  test(`[rules] ${testCase.fault}: each change is in the audit trail once`, async () => {
    const store = MemoryObjectStore.create();
    store.injectFaults(...testCase.storeFaults);
    const [first, second] = [createTrail(store), createTrail(store)];
    const sequences = await Promise.all([
      first.append(createRecord('a')),
      first.append(createRecord('b')),
      second.append(createRecord('c')),
      second.append(createRecord('a')),
    ]);
    const entries = await first.list({});
    assert.deepEqual(entries.map(e => e.id).sort(), ['a', 'b', 'c']);
    assert.deepEqual(
      entries.map(e => e.sequence),
      [1, 2, 3],
    );
    assert.equal(sequences[0], sequences[3]);
  });
}

test('list filters records and continues after a sequence number', async () => {
  const store = MemoryObjectStore.create();
  const trail = createTrail(store);
  const appends = Array.from({length: 250}, (_, i) =>
    trail.append(createRecord(`r${i}`, i % 2 === 0 ? 'mina' : 'ravi')),
  );
  await Promise.all(appends);
  const recordsOfRavi = await trail.list({who: 'ravi', limit: 3});
  assert.deepEqual(
    recordsOfRavi.map(e => e.sequence),
    [2, 4, 6],
  );
  const rest = await trail.list({afterSequence: 120});
  assert.equal(rest.length, 130);
  assert.equal(rest[0].sequence, 121);
  const none = await trail.list({action: 'key.rotate'});
  assert.deepEqual(none, []);
});

test('records that are appended at the same time share writes', async () => {
  const store = MemoryObjectStore.create();
  const trail = createTrail(store);
  await trail.append(createRecord('first'));
  const writesBefore = store.writeCount;
  await Promise.all(
    Array.from({length: 90}, (_, i) => trail.append(createRecord(`r${i}`))),
  );
  assert.ok(
    store.writeCount - writesBefore <= 3,
    `${store.writeCount - writesBefore} writes`,
  );
});

test('a restarted writer finds the end of the audit trail from the hint and recognises recent ids', async () => {
  const store = MemoryObjectStore.create();
  const trail = createTrail(store);
  for (let i = 0; i < 300; i++) await trail.append(createRecord(`r${i}`));
  const restarted = createTrail(store);
  const readsBefore = store.readCount;
  assert.equal(await restarted.append(createRecord('r299')), 300);
  assert.equal(await restarted.append(createRecord('new')), 301);
  assert.ok(
    store.readCount - readsBefore <= 6,
    `${store.readCount - readsBefore} reads`,
  );
});

test('a stopped audit trail rejects pending and new records', async () => {
  const store = MemoryObjectStore.create();
  store.isDown = true;
  const trail = createTrail(store);
  const append = trail.append(createRecord('a'));
  trail.stop();
  await assert.rejects(append, /unavailable/);
  await assert.rejects(trail.append(createRecord('b')), /unavailable/);
});
