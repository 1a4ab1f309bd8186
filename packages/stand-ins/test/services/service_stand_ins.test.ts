import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  startBookingStandIn,
  startHostListStandIn,
  startRatingStandIn,
  startWeightStandIn,
  type HostRecord,
} from '../../src/index.js';
import {sendRequest} from '../support/http.js';

const HOST: HostRecord = {
  host: 'e1',
  role: 'engine',
  address: '127.0.0.1:1',
  failureDomain: 'a',
  state: 'live',
};

test('the booking service executes each call unless a fault prevents it', async t => {
  const booking = await startBookingStandIn();
  t.after(() => booking.stop());
  const confirm = () =>
    sendRequest(booking.address, 'POST', '/v1/confirmations', '{}', {
      'idempotency-key': 'k',
    });
  booking.setFaults({refuse: 1, dropBeforeRun: 1, dropAfterRun: 1});
  assert.equal((await confirm()).status, 503);
  await assert.rejects(confirm());
  assert.deepEqual(booking.executions(), {});
  await assert.rejects(confirm());
  assert.deepEqual(booking.executions(), {k: 1});
  assert.equal((await confirm()).body.executions, 2);
});

test('the host list shows a change only after the configured lag', async t => {
  const list = await startHostListStandIn({hosts: [HOST], lagMs: 60_000});
  t.after(() => list.stop());
  list.setHosts([{...HOST, state: 'leaving'}]);
  const read = async () =>
    (await sendRequest(list.address, 'GET', '/hosts')).body;
  assert.deepEqual(await read(), {hosts: [HOST]});
  list.setFaults({lagMs: 0});
  assert.deepEqual(await read(), {hosts: [{...HOST, state: 'leaving'}]});
  list.setFaults({isDown: true});
  assert.equal((await sendRequest(list.address, 'GET', '/hosts')).status, 503);
});

test('ratings follow the quality of the version, with a rate limit and a delay', async t => {
  const rating = await startRatingStandIn({
    ratePerS: 0.001,
    quality: {'quick@v1': 0.5},
    lagMs: 60_000,
  });
  t.after(() => rating.stop());
  const body = JSON.stringify({
    requestId: 'r',
    kind: 'icebreaker',
    model: 'quick',
    version: 'v1',
    answer: 'x',
  });
  const rate = () => sendRequest(rating.address, 'POST', '/v1/ratings', body);
  const list = async () => {
    const answer = await sendRequest(
      rating.address,
      'GET',
      '/v1/ratings?after=0',
    );
    return answer.body.ratings as ReadonlyArray<{score: number}>;
  };
  assert.equal((await rate()).status, 202);
  assert.equal((await rate()).status, 429);
  assert.deepEqual(await list(), []);
  rating.setFaults({lagMs: 0});
  const [{score}] = await list();
  assert.ok(Math.abs(score - 0.5) <= 0.1, String(score));
});

test('the weight store refuses transfers above its concurrency limit', async t => {
  const weights = await startWeightStandIn({
    sizeBytes: 200_000,
    bytesPerS: 1000,
    concurrentTransfers: 1,
  });
  const fast = await startWeightStandIn({sizeBytes: 200_000});
  t.after(() => fast.stop());
  t.after(() => weights.stop());
  const first = await fetch(`http://${weights.address}/weights/quick/v1`);
  const second = await fetch(`http://${weights.address}/weights/quick/v1`);
  assert.equal(second.status, 429);
  await second.body?.cancel();
  await first.body?.cancel();
  const whole = await fetch(`http://${fast.address}/weights/quick/v1`);
  assert.equal((await whole.arrayBuffer()).byteLength, 200_000);
});
