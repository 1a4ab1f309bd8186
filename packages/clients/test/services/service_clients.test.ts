import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {
  startBookingStandIn,
  startHostListStandIn,
  startRatingStandIn,
  startWeightStandIn,
} from '@anvilrudder/stand-ins';
import {
  HostListClient,
  HttpServiceClient,
  RatingClient,
  WeightClient,
  isBackendError,
  type ServiceCall,
} from '../../src/index.js';

const CALL: ServiceCall = {
  path: '/v1/confirmations',
  body: '{"pairing":1}',
  idempotencyKey: 'k',
  timeoutMs: 2000,
};

function closeAfter<T extends {close(): Promise<void>}>(
  t: TestContext,
  client: T,
): T {
  t.after(() => client.close());
  return client;
}

test('a service call sends its idempotency key and returns the response unchanged', async t => {
  const booking = await startBookingStandIn();
  t.after(() => booking.stop());
  const services = closeAfter(t, HttpServiceClient.create());
  const answer = await services.call(booking.address, CALL);
  const body = JSON.parse(answer.body) as {executions: number};
  assert.equal(answer.status, 200);
  assert.equal(body.executions, 1);
  assert.deepEqual(booking.executions(), {k: 1});
  const missing = await services.call(booking.address, {...CALL, path: '/x'});
  assert.equal(missing.status, 404);
});

test('entries with an unknown state are omitted from the host list', async t => {
  const host = {
    host: 'e1',
    role: 'engine',
    address: '127.0.0.1:1',
    failureDomain: 'a',
    state: 'live',
  } as const;
  const unknown = {...host, state: 'sleeping'} as unknown as typeof host;
  const list = await startHostListStandIn({hosts: [host, unknown]});
  t.after(() => list.stop());
  const baseUrl = `http://${list.address}`;
  const client = closeAfter(t, HostListClient.create({baseUrl}));
  assert.deepEqual(await client.list(), [host]);
  list.setFaults({isDown: true});
  await assert.rejects(client.list(), isBackendError);
});

test('answers are submitted for rating and ratings are read', async t => {
  const rating = await startRatingStandIn({ratePerS: 0.001});
  t.after(() => rating.stop());
  const client = closeAfter(t, RatingClient.create());
  const request = {
    requestId: 'r',
    kind: 'icebreaker',
    model: 'quick',
    version: 'v1',
    answer: 'x',
  };
  const accepted = await client.rate(rating.address, request);
  const limited = await client.rate(rating.address, request);
  assert.equal(accepted.status, 'accepted');
  assert.deepEqual(limited, {status: 'limited', retryAfterMs: 1_000_000});
  const page = await client.list(rating.address, 0);
  assert.equal(page.ratings[0].requestId, 'r');
  assert.deepEqual(await client.list(rating.address, page.next), {
    ratings: [],
    next: page.next,
  });
});

test('weights are streamed, and a download over the limit gets a retry delay', async t => {
  const weights = await startWeightStandIn({
    sizeBytes: 300_000,
    bytesPerS: 1000,
    concurrentTransfers: 1,
  });
  const fast = await startWeightStandIn({sizeBytes: 300_000});
  t.after(() => fast.stop());
  t.after(() => weights.stop());
  const client = closeAfter(t, WeightClient.create());
  const of = {model: 'quick', version: 'v1'};
  const first = await client.open(weights.address, of);
  const second = await client.open(weights.address, of);
  assert.deepEqual(second, {status: 'limited', retryAfterMs: 300_000});
  assert.ok(first.status === 'streaming');
  let sizeBytes = 0;
  for await (const chunk of first.chunks) {
    assert.ok(chunk.length > 0);
    break;
  }
  const whole = await client.open(fast.address, of);
  assert.ok(whole.status === 'streaming');
  for await (const chunk of whole.chunks) sizeBytes += chunk.length;
  assert.equal(sizeBytes, 300_000);
});
