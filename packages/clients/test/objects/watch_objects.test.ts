import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import type {ObjectPage, ObjectStore, WatchPage} from '@anvilrudder/core';
import {startObjectStandIn, type ObjectStandIn} from '@anvilrudder/stand-ins';
import {
  HttpObjectStore,
  createObjectStoreError,
  watchKey,
  watchObjects,
  type ObjectStoreFailure,
  type WatchHandlers,
  type WatchOptions,
} from '../../src/index.js';
import {createScriptedStore} from '../support/scripted_store.js';

interface Fixture {
  readonly objects: ObjectStandIn;
  readonly store: HttpObjectStore;
  readonly options: WatchOptions;
  readonly abort: AbortController;
}

async function start(t: TestContext): Promise<Fixture> {
  const objects = await startObjectStandIn();
  const baseUrl = `http://${objects.address}`;
  const store = HttpObjectStore.create({baseUrl, pageLimit: 2});
  const abort = new AbortController();
  t.after(async () => {
    abort.abort();
    await store.close();
    await objects.stop();
  });
  const options = {
    signal: abort.signal,
    random: () => 0.5,
    backoff: {baseMs: 2, maxMs: 4},
  };
  return {objects, store, options, abort};
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 1));
}

function put(store: ObjectStore, key: string, value: string) {
  return store.put(key, value, {kind: 'any'});
}

test('a watched key is reported at the start and at each change', async t => {
  const {store, options, abort} = await start(t);
  await put(store, 'head2', 'other');
  const values: Array<string | undefined> = [];
  const watching = watchKey(
    store,
    'head',
    {onValue: object => values.push(object?.value)},
    options,
  );
  await until(() => values.length === 1);
  await put(store, 'head', '1');
  await put(store, 'head2', 'other');
  await until(() => values.length === 2);
  await store.delete('head', {kind: 'any'});
  await until(() => values.length === 3);
  assert.deepEqual(values, [undefined, '1', undefined]);
  abort.abort();
  await watching;
});

test('a watch goes on after an outage and misses no change', async t => {
  const {objects, store, options} = await start(t);
  const values: string[] = [];
  let errors = 0;
  const handlers: WatchHandlers = {
    onSnapshot: list => values.push(...list.map(({value}) => value)),
    onEvent: ({value}) => values.push(value ?? 'deleted'),
    onError: () => (errors += 1),
  };
  objects.setFaults({isDown: true});
  void watchObjects(store, 'o/', handlers, {...options, readWaitMs: () => 20});
  await until(() => errors > 1);
  objects.setFaults({isDown: false});
  for (const value of ['1', '2', '3']) await put(store, 'o/k', value);
  await until(() => values.at(-1) === '3');
  const {rejected} = objects.counters();
  objects.setFaults({isDown: true});
  await until(() => objects.counters().rejected > rejected);
  objects.setFaults({isDown: false});
  await put(store, 'o/k', '4');
  await until(() => values.at(-1) === '4');
});

type Step<T> = T | ObjectStoreFailure;

interface ScriptedWatch {
  readonly lists: readonly Step<ObjectPage>[];
  readonly watches: readonly Step<WatchPage>[];
}

interface ScriptedWatchRun {
  readonly values: readonly (string | undefined)[];
  readonly failures: readonly string[];
  readonly watchedAfter: readonly number[];
  readonly waitsMs: readonly number[];
}

/** Runs a watch of the key `k` to the end of the scripted answers. */
async function runScripted(script: ScriptedWatch): Promise<ScriptedWatchRun> {
  const abort = new AbortController();
  const values: (string | undefined)[] = [];
  const failures: string[] = [];
  const watchedAfter: number[] = [];
  const waitsMs: number[] = [];
  const lists = [...script.lists];
  const watches = [...script.watches];
  const take = <T extends object>(steps: Step<T>[]): Promise<T> => {
    const step = steps.shift();
    if (step === undefined) abort.abort();
    if (typeof step === 'object') return Promise.resolve(step);
    const failure = step ?? 'aborted';
    const options = {execution: 'notRun', failure} as const;
    return Promise.reject(createObjectStoreError('scripted', options));
  };
  const store: ObjectStore = {
    ...createScriptedStore([]),
    list: () => take(lists),
    watch: (_prefix, after, waitMs) => {
      watchedAfter.push(after);
      waitsMs.push(waitMs);
      return take(watches);
    },
  };
  await watchKey(
    store,
    'k',
    {
      onValue: object => values.push(object?.value),
      onError: error => failures.push(error.failure),
    },
    {signal: abort.signal, random: () => 0},
  );
  return {values, failures, watchedAfter, waitsMs};
}

function createPage(storeVersion: number, value: string): ObjectPage {
  const objects = [{key: 'k', version: storeVersion, value}];
  return {objects, storeVersion, nextAfter: undefined};
}

function createEvents(storeVersion: number, value: string): WatchPage {
  return {events: [{key: 'k', version: storeVersion, value}], storeVersion};
}

test('a watch lists anew when the history is gone', async () => {
  const run = await runScripted({
    lists: [createPage(3, 'a'), createPage(9, 'b')],
    watches: ['historyGone', createEvents(10, 'c')],
  });
  assert.deepEqual(run.values, ['a', 'b', 'c']);
  assert.deepEqual(run.watchedAfter, [3, 9, 10]);
});

test('a list older than the changes already reported is not used', async () => {
  const run = await runScripted({
    lists: [createPage(3, 'a'), createPage(4, 'old'), createPage(8, 'c')],
    watches: [createEvents(5, 'b'), 'historyGone'],
  });
  assert.deepEqual(run.values, ['a', 'b', 'c']);
  assert.deepEqual(run.failures, ['historyGone', 'stale']);
});

test('a change that was reported before is not reported again', async () => {
  const run = await runScripted({
    lists: ['timeout', createPage(3, 'a'), createPage(3, 'a')],
    watches: [createEvents(3, 'again'), createEvents(2, 'older'), 'cut'],
  });
  assert.deepEqual(run.values, ['a', 'a']);
  assert.deepEqual(run.failures, ['timeout', 'cut']);
  assert.deepEqual(run.watchedAfter, [3, 3, 3, 3]);
});

test('a watch lists anew after a cut, as its old place may hear nothing', async () => {
  const run = await runScripted({
    lists: [createPage(3, 'a'), createPage(9, 'b')],
    watches: ['cut', createEvents(10, 'c')],
  });
  assert.deepEqual(run.values, ['a', 'b', 'c']);
  assert.deepEqual(run.watchedAfter, [3, 9, 10]);
});

test('waits begin short after a failure and grow while the store is sound', async () => {
  const watches = Array.from({length: 9}, (_, index) =>
    index === 0 ? 'cut' : createEvents(index + 3, 'x'),
  );
  const run = await runScripted({
    lists: [createPage(3, 'a'), createPage(3, 'a')],
    watches,
  });
  assert.deepEqual(
    run.waitsMs.slice(0, 9),
    [30_000, 500, 1000, 2000, 4000, 8000, 16_000, 30_000, 30_000],
  );
});

test('a removal that bears an older version is reported', async () => {
  const removal = {key: 'k', version: 7, value: undefined};
  const later = {key: 'k', version: 6, value: 'b'};
  const run = await runScripted({
    lists: [createPage(3, 'a')],
    watches: [{events: [removal, later], storeVersion: 7}],
  });
  assert.deepEqual(run.values, ['a', undefined, 'b']);
});

test('what a handler throws ends the watch', async () => {
  const fault = new Error('handler');
  const watching = watchKey(
    createScriptedStore([]),
    'k',
    {
      onValue: () => {
        throw fault;
      },
    },
    {signal: new AbortController().signal, random: () => 0},
  );
  await assert.rejects(watching, fault);
});

test('changes in quick succession come with one call after a pause', async t => {
  t.mock.timers.enable({apis: ['setTimeout']});
  const settle = () => new Promise(resolve => setImmediate(resolve));
  const abort = new AbortController();
  t.after(() => abort.abort());
  let version = 1;
  let watchCalls = 0;
  const store: ObjectStore = {
    ...createScriptedStore([]),
    watch: () => {
      watchCalls += 1;
      version += 1;
      const event = {key: 'rules/a', version, value: 'text'};
      return Promise.resolve({events: [event], storeVersion: version});
    },
  };
  const seen: number[] = [];
  const watching = watchObjects(
    store,
    'rules/',
    {onSnapshot: () => undefined, onEvent: event => seen.push(event.version)},
    {signal: abort.signal, random: () => 0.5, batchDelayMs: 500},
  );
  await settle();
  assert.deepEqual(seen, [2], 'the first change is told at once');
  t.mock.timers.tick(499);
  await settle();
  assert.equal(watchCalls, 1);
  t.mock.timers.tick(1);
  await settle();
  assert.equal(watchCalls, 2);
  abort.abort();
  await watching;
});
