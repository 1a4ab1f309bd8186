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

interface Row {
  readonly fault: string;
  readonly faults: readonly ScriptedFault[];
}

const ROWS: readonly Row[] = [
  {fault: 'no fault', faults: []},
  {
    fault: 'an append takes effect and its answer is lost',
    faults: [{method: 'put', fault: 'answerLost'}],
  },
  {
    fault: 'an append takes effect and every answer is lost',
    faults: [1, 2, 3, 4].map(() => ({method: 'put', fault: 'answerLost'})),
  },
  {
    fault: 'an append is lost on its way',
    faults: [{method: 'put', fault: 'requestLost'}],
  },
  {
    fault: 'the store is out for a while',
    faults: [1, 2, 3].map(() => ({fault: 'refused'})),
  },
  {
    fault: 'the end can not be read',
    faults: [{method: 'list', fault: 'refused'}],
  },
];

for (const row of ROWS) {
  test(`[rules] ${row.fault}: each change is in the trail once`, async () => {
    const store = MemoryObjectStore.create();
    store.injectFaults(...row.faults);
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

test('a listing filters and goes on after a sequence', async () => {
  const store = MemoryObjectStore.create();
  const trail = createTrail(store);
  const appends = Array.from({length: 250}, (_, i) =>
    trail.append(createRecord(`r${i}`, i % 2 === 0 ? 'mina' : 'ravi')),
  );
  await Promise.all(appends);
  const ravi = await trail.list({who: 'ravi', limit: 3});
  assert.deepEqual(
    ravi.map(e => e.sequence),
    [2, 4, 6],
  );
  const rest = await trail.list({afterSequence: 120});
  assert.equal(rest.length, 130);
  assert.equal(rest[0].sequence, 121);
  const none = await trail.list({action: 'key.rotate'});
  assert.deepEqual(none, []);
});

test('records that arrive together share a write', async () => {
  const store = MemoryObjectStore.create();
  const trail = createTrail(store);
  await trail.append(createRecord('first'));
  const before = store.writeCount;
  await Promise.all(
    Array.from({length: 90}, (_, i) => trail.append(createRecord(`r${i}`))),
  );
  assert.ok(store.writeCount - before <= 3, `${store.writeCount - before}`);
});

test('a restarted writer finds the end from the hint and knows recent ids', async () => {
  const store = MemoryObjectStore.create();
  const trail = createTrail(store);
  for (let i = 0; i < 300; i++) await trail.append(createRecord(`r${i}`));
  const restarted = createTrail(store);
  const before = store.readCount;
  assert.equal(await restarted.append(createRecord('r299')), 300);
  assert.equal(await restarted.append(createRecord('new')), 301);
  assert.ok(store.readCount - before <= 6, `${store.readCount - before}`);
});

test('a stopped trail refuses what is pending', async () => {
  const store = MemoryObjectStore.create();
  store.isDown = true;
  const trail = createTrail(store);
  const append = trail.append(createRecord('a'));
  trail.stop();
  await assert.rejects(append, /unavailable/);
  await assert.rejects(trail.append(createRecord('b')), /unavailable/);
});
