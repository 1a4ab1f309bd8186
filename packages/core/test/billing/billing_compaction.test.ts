import assert from 'node:assert/strict';
import {test} from 'node:test';
import {resolveLinkKey} from '../../src/billing/billing_batch.js';
import {compactBatches} from '../../src/billing/billing_compaction.js';
import {
  encodeBatchLink,
  type LinkWriter,
} from '../../src/billing/billing_record.js';
import {
  parseTotals,
  resolveTotalsKey,
} from '../../src/billing/billing_totals.js';
import {
  applyStoreStep,
  EMPTY_STORE,
  type StoreModel,
} from '../support/protocol_explorer.js';

const RETENTION_MS = 1000;

function putLink(
  store: StoreModel,
  sequence: number,
  link: number,
  writer: LinkWriter,
  requestIds: readonly string[],
): StoreModel {
  const records = requestIds.map(requestId => ({
    requestId,
    organisation: 'hanbit',
    period: '2026-12',
    kind: 'icebreaker',
    model: 'quick',
    version: 'v1',
    promptTokens: 2,
    outputTokens: 3,
    costMicros: 5,
  }));
  return applyStoreStep(store, {
    kind: 'put',
    key: resolveLinkKey({shard: 0, incarnation: 'e1', sequence}, link),
    value: encodeBatchLink({writer, records}),
    condition: {kind: 'any'},
  }).store;
}

/** Compacts; `between` changes the store between two pages of the listing. */
function compact(
  store: StoreModel,
  elapsedMs = 0,
  pageSize = 100,
  between = (s: StoreModel) => s,
): StoreModel {
  const protocol = compactBatches({
    shard: 0,
    compactionId: `c${store.version}`,
    previousId: findCompactionId(store),
    elapsedMs,
    retentionMs: RETENTION_MS,
    maxPages: 10,
  });
  let model = store;
  let state = protocol.next();
  while (!state.done) {
    const step = state.value;
    const applied = applyStoreStep(model, step);
    model = applied.store;
    let {reply} = applied;
    if (reply.kind === 'page' && step.kind === 'list') {
      const {after} = step;
      const objects = reply.page.objects
        .filter(o => o.key > (after ?? ''))
        .slice(0, pageSize);
      const isLast = objects.length < pageSize;
      const nextAfter = isLast ? undefined : objects.at(-1)!.key;
      reply = {...reply, page: {...reply.page, objects, nextAfter}};
      if (after === undefined) model = between(model);
    }
    state = protocol.next(reply);
  }
  return model;
}

function findCompactionId(store: StoreModel): string | undefined {
  const object = store.objects.find(o => o.key === resolveTotalsKey(0));
  return object === undefined
    ? undefined
    : parseTotals(object.value).compactionId;
}

function countBilled(store: StoreModel): number {
  const object = store.objects.find(o => o.key === resolveTotalsKey(0))!;
  const usage = parseTotals(object.value).usage['2026-12/hanbit'];
  assert.equal(usage.costMicros, 5 * usage.requestCount);
  return usage.requestCount;
}

function countLinks(store: StoreModel): number {
  return store.objects.filter(o => o.key.startsWith('billing/batches/')).length;
}

test('a link that the listing passed by is added by the next compaction', () => {
  let store = putLink(EMPTY_STORE, 1, 0, 'handOff', ['r1']);
  store = putLink(store, 2, 0, 'handOff', ['r3']);
  store = compact(store, 0, 2, s =>
    putLink(putLink(s, 1, 1, 'origin', ['r2']), 2, 1, 'origin', ['r4']),
  );
  assert.equal(countBilled(store), 3);
  store = compact(store);
  assert.equal(countBilled(store), 4);
});

test('batches are deleted once the entry has gone on to the next', () => {
  let store = putLink(EMPTY_STORE, 1, 0, 'origin', ['r1']);
  store = compact(compact(store));
  assert.equal(countLinks(store), 1);
  store = putLink(store, 2, 0, 'origin', ['r2']);
  store = compact(compact(store));
  assert.equal(countLinks(store), 1);
  assert.equal(countBilled(store), 2);
});

test('a late copy of a sealed batch is not billed and is deleted', () => {
  let store = putLink(EMPTY_STORE, 1, 0, 'origin', ['r1', 'r2']);
  store = putLink(store, 2, 0, 'origin', ['r3']);
  store = compact(compact(store));
  store = putLink(store, 1, 0, 'handOff', ['r1']);
  store = putLink(store, 1, 1, 'handOff', ['r2']);
  store = compact(store);
  assert.equal(countBilled(store), 3);
  assert.equal(countLinks(store), 1);
});

test('the last batch of a lost entry is deleted after the retention, billed once', () => {
  let store = putLink(EMPTY_STORE, 1, 0, 'handOff', ['r1']);
  store = compact(store);
  const other = {shard: 0, incarnation: 'e2', sequence: 1};
  for (let round = 0; round < 4; round++) {
    store = applyStoreStep(store, {
      kind: 'put',
      key: resolveLinkKey({...other, sequence: round + 1}, 0),
      value: encodeBatchLink({writer: 'origin', records: []}),
      condition: {kind: 'any'},
    }).store;
    store = compact(store, RETENTION_MS);
  }
  const names = store.objects.map(o => o.key).join();
  assert.ok(!names.includes('/e1/'), names);
  assert.equal(countBilled(store), 1);
});
