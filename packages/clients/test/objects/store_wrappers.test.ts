import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {ObjectStore} from '@anvilrudder/core';
import {
  createRateLimitedStore,
  createCountingStore,
  createRetryingStore,
  isObjectStoreError,
  type ObjectStoreErrorOptions,
  type ObjectStoreFailure,
} from '../../src/index.js';
import {createScriptedStore} from '../support/scripted_store.js';

const UNAVAILABLE: ObjectStoreErrorOptions = {
  execution: 'notRun',
  failure: 'unavailable',
};
const CUT: ObjectStoreErrorOptions = {execution: 'unknown', failure: 'cut'};
const GONE: ObjectStoreErrorOptions = {
  execution: 'notRun',
  failure: 'historyGone',
};

function isFailure(failure: ObjectStoreFailure) {
  return (error: unknown) =>
    isObjectStoreError(error) && error.failure === failure;
}

interface RetryCase {
  readonly call: string;
  readonly run: (store: ObjectStore) => Promise<unknown>;
  readonly failures: readonly ObjectStoreErrorOptions[];
  readonly sent: number;
  readonly failure?: ObjectStoreFailure;
}

const get = (store: ObjectStore) => store.get('k');
const put = (store: ObjectStore) => store.put('k', 'v', {kind: 'any'});
const watch = (store: ObjectStore) => store.watch('k', 0, 0);

// prettier-ignore
const RETRY_CASES: readonly RetryCase[] = [
  {call: 'read, cut', run: get, failures: [CUT, CUT], sent: 3},
  {call: 'write, not run', run: put, failures: [UNAVAILABLE], sent: 2},
  {call: 'write, unknown', run: put, failures: [CUT], sent: 1, failure: 'cut'},
  {call: 'read, persistent outage', run: get, failures: [UNAVAILABLE, UNAVAILABLE, UNAVAILABLE], sent: 3, failure: 'unavailable'},
  {call: 'watch, cut', run: watch, failures: [CUT], sent: 1, failure: 'cut'},
  {call: 'watch, history gone', run: watch, failures: [GONE], sent: 1, failure: 'historyGone'},
];

for (const {call, run, failures, sent, failure} of RETRY_CASES) {
  test(`retries: ${call}: ${sent} sent, ${failure ?? 'succeeds'}`, async () => {
    const scripted = createScriptedStore(failures);
    const store = createRetryingStore(scripted, {random: () => 0});
    if (failure === undefined) await run(store);
    else await assert.rejects(run(store), isFailure(failure));
    assert.equal(scripted.calls.length, sent);
  });
}

test('an open circuit refuses calls without sending them', async () => {
  const scripted = createScriptedStore([UNAVAILABLE, UNAVAILABLE]);
  const store = createRetryingStore(scripted, {
    random: () => 1,
    maxAttempts: 1,
    circuit: {failureThreshold: 2, maxOpenMs: 60_000},
  });
  await assert.rejects(get(store), isFailure('unavailable'));
  await assert.rejects(get(store), isFailure('unavailable'));
  await assert.rejects(get(store), isFailure('circuitOpen'));
  assert.equal(scripted.calls.length, 2);
});

test('an open circuit is closed by the successful probe of a later call', async t => {
  let nowMs = 0;
  t.mock.method(performance, 'now', () => nowMs);
  const scripted = createScriptedStore([UNAVAILABLE]);
  const store = createRetryingStore(scripted, {
    random: () => 1,
    maxAttempts: 1,
    circuit: {failureThreshold: 1, maxOpenMs: 500},
  });
  await assert.rejects(get(store), isFailure('unavailable'));
  nowMs = 499;
  await assert.rejects(get(store), isFailure('circuitOpen'));
  nowMs = 500;
  await get(store);
  await get(store);
  assert.equal(scripted.calls.length, 3);
});

test('the rate limit fails calls that would wait too long', async () => {
  const scripted = createScriptedStore([]);
  const store = createRateLimitedStore(scripted, {
    callsPerS: 0.001,
    burst: 2,
    maxWaitMs: 100,
  });
  await get(store);
  await watch(store);
  await assert.rejects(put(store), isFailure('budget'));
  assert.deepEqual(scripted.calls, ['get', 'watch']);
});

test('each call and each failure is counted', async () => {
  const {store, counters} = createCountingStore(
    createScriptedStore([CUT, UNAVAILABLE]),
  );
  await assert.rejects(get(store));
  await assert.rejects(put(store));
  await watch(store);
  await store.list('');
  await store.delete('k', {kind: 'any'});
  assert.deepEqual(counters(), {
    calls: {get: 1, put: 1, delete: 1, list: 1, watch: 1},
    failures: {cut: 1, unavailable: 1},
  });
});
