import assert from 'node:assert/strict';
import {after, afterEach, before, test} from 'node:test';
import type {Execution} from '@anvilrudder/core';
import {
  startObjectStandIn,
  type ObjectFaults,
  type ObjectStandIn,
} from '@anvilrudder/stand-ins';
import {
  HttpObjectStore,
  isObjectStoreError,
  type ObjectStoreFailure,
} from '../../src/index.js';
import {reserveClosedAddress} from '../support/tcp_server.js';

let objects: ObjectStandIn;
let store: HttpObjectStore;
let shortTimeoutStore: HttpObjectStore;

before(async () => {
  objects = await startObjectStandIn({historyLimit: 50});
  store = HttpObjectStore.create({
    baseUrl: `http://${objects.address}`,
    pageLimit: 2,
  });
  shortTimeoutStore = HttpObjectStore.create({
    baseUrl: `http://${objects.address}`,
    timeoutMs: 300,
  });
});

afterEach(() => {
  objects.setFaults({isDown: false, delayMs: 0});
});

after(async () => {
  await store.close();
  await shortTimeoutStore.close();
  await objects.stop();
});

async function assertFails(
  calling: Promise<unknown>,
  execution: Execution,
  failure: ObjectStoreFailure,
): Promise<void> {
  await assert.rejects(calling, error => {
    assert.ok(isObjectStoreError(error), String(error));
    assert.deepEqual([error.execution, error.failure], [execution, failure]);
    return true;
  });
}

test('objects are written, read, replaced and deleted under conditions', async () => {
  const key = 'a b/ü?%/x';
  const first = await store.put(key, '1', {kind: 'absent'});
  assert.equal(first.status, 'written');
  const read = await store.get(key);
  assert.equal(read?.value, '1');
  const again = await store.put(key, '2', {kind: 'absent'});
  assert.deepEqual(again, {status: 'conflict', current: read});
  const version = read!.version;
  await store.put(key, '3', {kind: 'version', version});
  const stale = await store.delete(key, {kind: 'version', version});
  assert.equal(stale.status, 'conflict');
  const deleted = await store.delete(key, {kind: 'any'});
  assert.equal(deleted.status, 'written');
  assert.equal(await store.get(key), undefined);
  const gone = await store.put(key, '4', {kind: 'version', version});
  assert.deepEqual(gone, {status: 'conflict', current: undefined});
});

test('a list is read page by page', async () => {
  for (const key of ['l/1', 'l/2', 'l/3']) {
    await store.put(key, key, {kind: 'any'});
  }
  const first = await store.list('l/');
  const second = await store.list('l/', first.nextAfter);
  const keys = [...first.objects, ...second.objects].map(({key}) => key);
  assert.deepEqual(keys, ['l/1', 'l/2', 'l/3']);
  assert.equal(second.nextAfter, undefined);
});

test('a watch returns changes and deletions after a version', async () => {
  const {storeVersion} = await store.list('w/');
  const watching = store.watch('w/', storeVersion, 5000);
  await store.put('w/1', 'x', {kind: 'any'});
  const page = await watching;
  assert.deepEqual(
    page.events.map(({key, value}) => [key, value]),
    [['w/1', 'x']],
  );
  await store.delete('w/1', {kind: 'any'});
  const next = await store.watch('w/', page.storeVersion, 0);
  assert.equal(next.events[0].value, undefined);
});

test('a watch ends when it is aborted', async () => {
  const {storeVersion} = await store.list('z/');
  const abort = new AbortController();
  const watching = store.watch('z/', storeVersion, 60_000, abort.signal);
  abort.abort();
  await assert.rejects(watching, error => {
    return isObjectStoreError(error) && error.failure === 'aborted';
  });
});

test('a watch from before the retained history fails as historyGone', async () => {
  for (let i = 0; i < 60; i += 1) await store.put('h', '', {kind: 'any'});
  await assertFails(store.watch('h', 1, 0), 'notRun', 'historyGone');
});

interface WriteFaultCase {
  readonly fault: string;
  readonly faults: Partial<ObjectFaults>;
  readonly value?: string;
  readonly execution: Execution;
  readonly failure: ObjectStoreFailure;
  /** Whether the object has the written value after the fault ends. */
  readonly isWritten: boolean;
}

// prettier-ignore
const WRITE_FAULT_CASES: readonly WriteFaultCase[] = [
  {fault: 'outage', faults: {isDown: true}, execution: 'notRun', failure: 'unavailable', isWritten: false},
  {fault: 'answer lost after the write', faults: {loseWriteAnswers: 1}, execution: 'unknown', failure: 'cut', isWritten: true},
  {fault: 'connection cut before the write', faults: {loseWrites: 1}, execution: 'unknown', failure: 'cut', isWritten: false},
  {fault: 'takes effect after the timeout', faults: {delayMs: 600}, execution: 'unknown', failure: 'timeout', isWritten: true},
  {fault: 'value above a megabyte', faults: {}, value: 'x'.repeat(1024 * 1024 + 1), execution: 'notRun', failure: 'tooLarge', isWritten: false},
];

for (const row of WRITE_FAULT_CASES) {
  test(`write, ${row.fault}: ${row.execution}, ${row.failure}`, async () => {
    const key = `faults/${row.fault}`;
    const {writes} = objects.counters();
    const {storeVersion} = await store.list(key);
    objects.setFaults(row.faults);
    const value = row.value ?? 'v';
    const client = row.failure === 'timeout' ? shortTimeoutStore : store;
    const writing = client.put(key, value, {kind: 'absent'});
    await assertFails(writing, row.execution, row.failure);
    objects.setFaults({isDown: false, delayMs: 0});
    if (row.isWritten) await store.watch(key, storeVersion, 5000);
    const read = await store.get(key);
    assert.equal(read?.value, row.isWritten ? 'v' : undefined);
    assert.ok(objects.counters().writes <= writes + 1);
  });
}

test('a write counts as not run when the connection is refused', async () => {
  const baseUrl = `http://${await reserveClosedAddress()}`;
  const unreachable = HttpObjectStore.create({baseUrl});
  const writing = unreachable.put('k', 'v', {kind: 'any'});
  await assertFails(writing, 'notRun', 'connect');
  await unreachable.close();
});
