import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import type {Execution, ObjectStore, StoredObject} from '@anvilrudder/core';
import {
  startObjectStandIn,
  type ObjectFaults,
  type ObjectStandIn,
} from '@anvilrudder/stand-ins';
import {
  HttpObjectStore,
  isObjectStoreError,
  putWithReadback,
  type ReadbackResult,
} from '../../src/index.js';

const VALUE = 'incarnation-1/7';
const OTHER_VALUE = 'incarnation-2/3';
const isOwnWrite = (object: StoredObject) => object.value === VALUE;

let objects: ObjectStandIn;
let store: HttpObjectStore;

before(async () => {
  objects = await startObjectStandIn();
  store = HttpObjectStore.create({baseUrl: `http://${objects.address}`});
});

after(async () => {
  await store.close();
  await objects.stop();
});

function write(
  client: ObjectStore,
  key: string,
  maxAttempts: number,
): Promise<ReadbackResult> {
  const options = {
    random: () => 0,
    maxAttempts,
    backoff: {baseMs: 1, maxMs: 1},
  };
  const condition = {kind: 'absent'} as const;
  return putWithReadback(client, key, VALUE, condition, isOwnWrite, options);
}

interface ReadbackCase {
  readonly fault: string;
  readonly prepare: (key: string) => Promise<unknown> | void;
  readonly maxAttempts?: number;
  readonly status?: ReadbackResult['status'];
  readonly mayHaveTakenEffect?: boolean;
  readonly execution?: Execution;
  readonly writes: number;
}

const writeOther = (key: string) => store.put(key, OTHER_VALUE, {kind: 'any'});

const writeOtherAndLoseNext = async (key: string) => {
  await writeOther(key);
  objects.setFaults({loseWrites: 1});
};
const setFaults = (faults: Partial<ObjectFaults>) => () =>
  objects.setFaults(faults);

// prettier-ignore
const CASES: readonly ReadbackCase[] = [
  {fault: 'no fault', prepare: () => {}, status: 'written', writes: 1},
  {fault: 'answer lost', prepare: setFaults({loseWriteAnswers: 1}), status: 'written', writes: 1},
  {fault: 'write lost', prepare: setFaults({loseWrites: 1}), status: 'written', writes: 2},
  {fault: 'answer lost, stale reads', prepare: setFaults({loseWriteAnswers: 1, staleReads: true}), status: 'written', writes: 2},
  {fault: 'another writer first', prepare: writeOther, status: 'conflict', mayHaveTakenEffect: false, writes: 1},
  {fault: 'another writer first, write lost', prepare: writeOtherAndLoseNext, status: 'conflict', mayHaveTakenEffect: true, writes: 2},
  {fault: 'outage', prepare: setFaults({isDown: true}), execution: 'notRun', writes: 2, maxAttempts: 2},
  {fault: 'each write lost', prepare: setFaults({loseWrites: 2}), execution: 'unknown', writes: 2, maxAttempts: 2},
  {fault: 'answer of the last write lost', prepare: setFaults({loseWriteAnswers: 1}), status: 'written', writes: 1, maxAttempts: 1},
];

for (const row of CASES) {
  const outcome = row.status ?? row.execution;
  test(`[rules] write with readback, ${row.fault}: ${outcome}`, async () => {
    const key = `readback/${row.fault}`;
    await row.prepare(key);
    const {writes} = objects.counters();
    const writing = write(store, key, row.maxAttempts ?? 4);
    const result = await writing.catch((error: unknown) => error);
    objects.setFaults({isDown: false, staleReads: false});
    if (isObjectStoreError(result)) {
      assert.equal(result.execution, row.execution);
    } else {
      const {status, mayHaveTakenEffect} = result as ReadbackResult & {
        readonly mayHaveTakenEffect?: boolean;
      };
      assert.equal(status, row.status);
      assert.equal(mayHaveTakenEffect, row.mayHaveTakenEffect);
    }
    const stored = await store.get(key);
    assert.equal(stored?.value === VALUE, row.status === 'written');
    assert.equal(objects.counters().writes - writes, row.writes);
  });
}

test('[rules] a delayed write that arrives after its retry changes nothing', async t => {
  const shortTimeoutStore = HttpObjectStore.create({
    baseUrl: `http://${objects.address}`,
    timeoutMs: 300,
  });
  t.after(() => shortTimeoutStore.close());
  objects.setFaults({holdWrites: 1});
  const first = shortTimeoutStore.put('late', VALUE, {kind: 'absent'});
  await assert.rejects(first, isObjectStoreError);
  const second = await write(store, 'late', 4);
  assert.equal(second.status, 'written');
  const {version} = (await store.get('late'))!;
  const {conflicts} = objects.counters();
  objects.setFaults({holdWrites: 0});
  while (objects.counters().conflicts === conflicts) await store.get('late');
  assert.equal((await store.get('late'))?.version, version);
});
