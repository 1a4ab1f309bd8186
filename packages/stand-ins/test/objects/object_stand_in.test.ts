import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {startObjectStandIn, type ObjectStandIn} from '../../src/index.js';
import {sendRequest} from '../support/http.js';

const WATCH_COUNT = 30;

let objects: ObjectStandIn;

before(async () => {
  objects = await startObjectStandIn({historyLimit: 4});
});

after(() => objects.stop());

test('a conditional write takes effect only if its precondition is met', async () => {
  const put = (value: string, headers: Record<string, string>) =>
    sendRequest(objects.address, 'PUT', '/objects/a/b', value, headers);
  const first = await put('1', {'if-none-match': '*'});
  const second = await put('2', {'if-none-match': '*'});
  assert.equal(first.status, 200);
  assert.equal(second.status, 412);
  const version = first.body.version as number;
  assert.deepEqual(second.body.current, {key: 'a/b', version, value: '1'});
  const third = await put('3', {'if-match': `"${version}"`});
  assert.deepEqual(third.body, {version: version + 1});
  const stale = await put('4', {'if-match': `"${version}"`});
  assert.equal(stale.status, 412);
});

test('a waiting watch returns the change once it is written', async () => {
  const {body} = await sendRequest(
    objects.address,
    'GET',
    '/objects?prefix=w/',
  );
  const path = `/watch?prefix=w/&after=${String(body.storeVersion)}&timeoutMs=5000`;
  const watching = sendRequest(objects.address, 'GET', path);
  await sendRequest(objects.address, 'PUT', '/objects/w/1', 'x');
  const {body: page} = await watching;
  const events = page.events as ReadonlyArray<{key: string; value: string}>;
  assert.deepEqual(
    events.map(({key, value}) => ({key, value})),
    [{key: 'w/1', value: 'x'}],
  );
});

test('a change reaches every waiting watch', async () => {
  const {body} = await sendRequest(
    objects.address,
    'GET',
    '/objects?prefix=m/',
  );
  const path = `/watch?prefix=m/&after=${String(body.storeVersion)}&timeoutMs=5000`;
  const {watches} = objects.counters();
  const watching = Array.from({length: WATCH_COUNT}, () =>
    sendRequest(objects.address, 'GET', path),
  );
  while (objects.counters().watches < watches + WATCH_COUNT) {
    await new Promise(resolve => setImmediate(resolve));
  }
  await sendRequest(objects.address, 'PUT', '/objects/m/1', 'x');
  for (const page of await Promise.all(watching)) {
    assert.equal((page.body.events as readonly unknown[]).length, 1);
  }
});

test('a watch from a version older than the history is answered 410', async () => {
  for (let i = 0; i < 6; i += 1) {
    await sendRequest(objects.address, 'PUT', '/objects/h', String(i));
  }
  const {status} = await sendRequest(
    objects.address,
    'GET',
    '/watch?prefix=h&after=0&timeoutMs=0',
  );
  assert.equal(status, 410);
});

test('a write whose response is lost still takes effect', async () => {
  objects.setFaults({loseWriteAnswers: 1});
  await assert.rejects(
    sendRequest(objects.address, 'PUT', '/objects/l', 'kept'),
  );
  const {body} = await sendRequest(objects.address, 'GET', '/objects/l');
  assert.equal(body.value, 'kept');
});

test('an outage answers 503, counts the call and changes nothing', async () => {
  objects.setFaults({isDown: true});
  const {rejected} = objects.counters();
  const down = await sendRequest(objects.address, 'PUT', '/objects/d', 'x');
  objects.setFaults({isDown: false});
  const read = await sendRequest(objects.address, 'GET', '/objects/d');
  assert.equal(down.status, 503);
  assert.equal(read.status, 404);
  assert.equal(objects.counters().rejected, rejected + 1);
});

test('stale reads return the state from when the fault was set', async () => {
  await sendRequest(objects.address, 'PUT', '/objects/s', 'old');
  objects.setFaults({staleReads: true});
  await sendRequest(objects.address, 'PUT', '/objects/s', 'new');
  const stale = await sendRequest(objects.address, 'GET', '/objects/s');
  objects.setFaults({staleReads: false});
  const fresh = await sendRequest(objects.address, 'GET', '/objects/s');
  assert.equal(stale.body.value, 'old');
  assert.equal(fresh.body.value, 'new');
});

test('objects are listed page by page in key order', async () => {
  for (const key of ['p/3', 'p/1', 'p/2']) {
    await sendRequest(objects.address, 'PUT', `/objects/${key}`, key);
  }
  const keysOf = (body: Readonly<Record<string, unknown>>) =>
    (body.objects as ReadonlyArray<{key: string}>).map(({key}) => key);
  const list = (after: string) =>
    sendRequest(
      objects.address,
      'GET',
      `/objects?prefix=p/&limit=2&after=${after}`,
    );
  const first = await list('');
  assert.deepEqual(keysOf(first.body), ['p/1', 'p/2']);
  const second = await list(String(first.body.nextAfter));
  assert.deepEqual(keysOf(second.body), ['p/3']);
  assert.equal(second.body.nextAfter, undefined);
});
