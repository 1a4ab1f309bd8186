import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  AdmissionController,
  ConcurrencyLimit,
  createRandom,
  type Priority,
} from '../../src/index.js';

function createController(maxQueueSize = 512) {
  return AdmissionController.create({
    random: createRandom(3),
    initialConcurrency: 2,
    maxConcurrency: 2,
    initialServiceMs: 1000,
    maxQueueSize,
  });
}

function request(id: string, priority: Priority = 'normal', deadlineMs = 1e9) {
  return {id, priority, deadlineMs};
}

const SERVED = {serviceMs: 1000, firstTokenMs: 200, wasRefused: false};

test('a request whose predicted wait exceeds its deadline is rejected immediately', () => {
  const admission = createController();
  for (const id of ['a', 'b', 'c', 'd']) admission.offer(request(id), 0);
  assert.equal(admission.queueSize, 2);
  const rejected = admission.offer(request('e', 'normal', 2000), 0);
  assert.equal(rejected.action, 'reject');
  assert.equal(rejected.rejections[0].id, 'e');
  assert.ok(rejected.rejections[0].retryAfterMs >= 100);
  assert.equal(
    admission.offer(request('f', 'normal', 9000), 0).action,
    'queue',
  );
});

test('rejected callers get different retry delays', () => {
  const admission = createController(0);
  for (const id of ['a', 'b']) admission.offer(request(id), 0);
  const times = Array.from({length: 20}, (_, i) => {
    const {rejections} = admission.offer(request(`r${i}`), 0);
    return rejections[0].retryAfterMs;
  });
  assert.ok(new Set(times).size > 15);
});

test('higher priorities are dispatched first and displace lower ones from a full queue', () => {
  const admission = createController(2);
  for (const id of ['a', 'b']) admission.offer(request(id), 0);
  admission.offer(request('low-1', 'low'), 0);
  admission.offer(request('low-2', 'low'), 0);
  const high = admission.offer(request('high', 'high'), 0);
  assert.equal(high.action, 'queue');
  assert.deepEqual(
    high.rejections.map(({id}) => id),
    ['low-2'],
  );
  assert.equal(admission.offer(request('low-3', 'low'), 0).action, 'reject');
  admission.finish(SERVED, 100);
  assert.deepEqual(admission.takeReady(100).dispatched, ['high']);
});

test('a queued request that can no longer meet its deadline is rejected, not dispatched', () => {
  const admission = createController();
  for (const id of ['a', 'b']) admission.offer(request(id), 0);
  admission.offer(request('late', 'normal', 3000), 0);
  admission.finish(SERVED, 2500);
  const change = admission.takeReady(2500);
  assert.deepEqual(change.dispatched, []);
  assert.deepEqual(
    change.rejections.map(({id}) => id),
    ['late'],
  );
});

test('a cancelled queued request is not dispatched', () => {
  const admission = createController();
  for (const id of ['a', 'b', 'c']) admission.offer(request(id), 0);
  assert.equal(admission.cancel('c'), true);
  admission.finish(SERVED, 10);
  assert.deepEqual(admission.takeReady(10).dispatched, []);
});

test('the limit grows while first tokens are fast and shrinks on refusals', () => {
  const limit = ConcurrencyLimit.create({
    initial: 8,
    minOnRefusal: 2,
    minOnHighLatency: 8,
    max: 64,
  });
  for (let i = 0; i < 200; i++) limit.observe(SERVED, limit.limit, i * 100);
  const grown = limit.limit;
  assert.ok(grown > 12, `${grown}`);
  const refused = {...SERVED, wasRefused: true};
  for (let i = 0; i < 5; i++) limit.observe(refused, grown, 50_000 + i * 1000);
  assert.ok(limit.limit < grown * 0.7);
});

test('a mix of cached and uncached prompts does not shrink the limit', () => {
  const limit = ConcurrencyLimit.create({
    initial: 16,
    minOnRefusal: 2,
    minOnHighLatency: 2,
    max: 16,
  });
  for (let i = 0; i < 500; i++) {
    const firstTokenMs = i % 2 === 0 ? 30 : 320;
    limit.observe({...SERVED, firstTokenMs}, 16, i * 100);
  }
  assert.equal(limit.limit, 16);
});

test('high first-token latency never shrinks the limit below the number of slots', () => {
  const settings = {
    initial: 16,
    minOnRefusal: 2,
    minOnHighLatency: 16,
    max: 32,
  };
  const limit = ConcurrencyLimit.create(settings);
  for (let i = 0; i < 500; i++) {
    const firstTokenMs = i < 100 ? 50 : 2000;
    limit.observe({...SERVED, firstTokenMs}, 16, i * 100);
  }
  assert.equal(limit.limit, 16);
});

test('simultaneous refusals shrink the limit only once', () => {
  const limit = ConcurrencyLimit.create({
    initial: 100,
    minOnRefusal: 2,
    minOnHighLatency: 2,
    max: 200,
  });
  const refused = {...SERVED, wasRefused: true};
  for (let i = 0; i < 50; i++) limit.observe(refused, 100, 1000);
  assert.equal(limit.limit, 90);
});
