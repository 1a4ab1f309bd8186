import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {
  expectedTokens,
  startEngineStandIn,
  type EngineStandIn,
  type EngineStandInOptions,
  type GenerateBody,
} from '../../src/index.js';
import {sendRequest} from '../support/http.js';

const BODY: GenerateBody = {
  requestId: 'r-1',
  model: 'quick',
  version: 'v1',
  prompt: 'p'.repeat(200),
  maxTokens: 4,
  priority: 'normal',
  deadlineMs: 5000,
};

interface SseEvent {
  readonly name: string;
  readonly data: Readonly<Record<string, unknown>>;
}

async function startEngine(
  t: TestContext,
  options: EngineStandInOptions = {},
): Promise<EngineStandIn> {
  const engine = await startEngineStandIn({
    loaded: [{model: 'quick', version: 'v1'}],
    ...options,
  });
  t.after(() => engine.stop());
  return engine;
}

function send(
  engine: EngineStandIn,
  body: Partial<GenerateBody> = {},
): Promise<Response> {
  return fetch(`http://${engine.address}/v1/generate`, {
    method: 'POST',
    body: JSON.stringify({...BODY, ...body}),
  });
}

function parseEvents(text: string): readonly SseEvent[] {
  return text
    .split('\n\n')
    .filter(block => block !== '')
    .map(block => {
      const [name, data] = block.split('\n');
      return {
        name: name.slice('event: '.length),
        data: JSON.parse(data.slice('data: '.length)) as SseEvent['data'],
      };
    });
}

async function generate(
  engine: EngineStandIn,
  body: Partial<GenerateBody> = {},
): Promise<readonly SseEvent[]> {
  const response = await send(engine, body);
  return parseEvents(await response.text());
}

function listTokenTexts(events: readonly SseEvent[]): readonly unknown[] {
  return events.filter(e => e.name === 'token').map(e => e.data.text);
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 1));
}

test('a stream sends the tokens of its own request and their count', async t => {
  const engine = await startEngine(t);
  const events = await generate(engine);
  assert.deepEqual(listTokenTexts(events), expectedTokens(BODY, 4));
  assert.equal(events.at(-1)?.name, 'done');
  assert.equal(events.at(-1)?.data.tokenCount, 4);
  const other = await generate(engine, {requestId: 'r-2'});
  assert.notDeepEqual(listTokenTexts(other), listTokenTexts(events));
});

test('a later attempt of a request continues the answer of the first', async t => {
  const engine = await startEngine(t);
  const body = {requestId: 'r-1.2', resumeFromToken: 3};
  const events = await generate(engine, body);
  assert.deepEqual(listTokenTexts(events), expectedTokens(BODY, 4).slice(3));
});

test('a resumed stream starts at the requested token', async t => {
  const engine = await startEngine(t);
  const events = await generate(engine, {resumeFromToken: 2});
  assert.deepEqual(listTokenTexts(events), expectedTokens(BODY, 4).slice(2));
  assert.deepEqual(engine.counters().executions, {});
  assert.deepEqual(engine.counters().resumes, {'r-1': 1});
});

test('a prefix seen before is reported as cached', async t => {
  const engine = await startEngine(t);
  const [first, second] = [await generate(engine), await generate(engine)];
  assert.equal(first.at(-1)?.data.cachedPromptTokens, 0);
  assert.equal(second.at(-1)?.data.cachedPromptTokens, 48);
  const {body} = await sendRequest(
    engine.address,
    'GET',
    '/v1/cache-events?after=0',
  );
  assert.equal(body.next, 3);
});

test('the cache keeps to its size and delays its events', async t => {
  const engine = await startEngine(t, {
    cacheEntries: 2,
    cacheEventLagMs: 60_000,
  });
  await generate(engine);
  assert.equal(engine.load().cachedPrefixes, 2);
  const {body} = await sendRequest(
    engine.address,
    'GET',
    '/v1/cache-events?after=0',
  );
  assert.deepEqual(body, {events: [], next: 0});
});

test('a request of high priority is served before queued ones', async t => {
  const engine = await startEngine(t, {slots: 1, tokenDelayMs: 5});
  const order: string[] = [];
  const run = async (priority: GenerateBody['priority']): Promise<void> => {
    await generate(engine, {requestId: priority, priority});
    order.push(priority);
  };
  const first = await send(engine, {maxTokens: 10_000});
  const runs = [run('low')];
  await waitUntil(() => engine.load().queued === 1);
  runs.push(run('high'));
  await waitUntil(() => engine.load().queued === 2);
  await first.body?.cancel();
  await Promise.all(runs);
  assert.deepEqual(order, ['high', 'low']);
});

test('a cancelled stream ends with an error event and frees its slot', async t => {
  const engine = await startEngine(t, {slots: 1, tokenDelayMs: 20});
  const response = await send(engine, {maxTokens: 10_000});
  const answer = await sendRequest(
    engine.address,
    'POST',
    '/v1/cancel',
    JSON.stringify({requestId: 'r-1'}),
  );
  assert.deepEqual(answer.body, {isCancelled: true});
  const events = parseEvents(await response.text());
  assert.equal(events.at(-1)?.data.code, 'cancelled');
  await waitUntil(() => engine.load().running === 0);
});

test('the slot of a client that disconnects is freed', async t => {
  const engine = await startEngine(t, {slots: 1, tokenDelayMs: 20});
  const response = await send(engine, {maxTokens: 10_000});
  await response.body?.cancel();
  await waitUntil(() => engine.load().running === 0);
});

test('an order with an old fencing number is refused unless fencing is ignored', async t => {
  const rows = [
    {ignoreFencing: false, status: 409, loaded: 'v2'},
    {ignoreFencing: true, status: 200, loaded: 'v1'},
  ];
  for (const {ignoreFencing, status, loaded} of rows) {
    const engine = await startEngine(t, {ignoreFencing});
    const order = (fencing: number, version: string) => {
      const wanted = {loaded: [{model: 'quick', version}], isDraining: false};
      const body = JSON.stringify({fencing, orderId: 'o', wanted});
      return sendRequest(engine.address, 'POST', '/v1/orders', body);
    };
    assert.equal((await order(7, 'v2')).status, 200);
    assert.equal((await order(6, 'v1')).status, status);
    assert.equal(engine.load().loaded[0].version, loaded);
  }
});

test('a draining engine finishes its streams and refuses new ones', async t => {
  const engine = await startEngine(t, {tokenDelayMs: 5});
  const running = await send(engine);
  const wanted = {loaded: [{model: 'quick', version: 'v1'}], isDraining: true};
  const order = JSON.stringify({fencing: 1, orderId: 'o', wanted});
  await sendRequest(engine.address, 'POST', '/v1/orders', order);
  const refused = await send(engine, {requestId: 'r-2'});
  assert.equal(refused.status, 503);
  assert.deepEqual(await refused.json(), {code: 'draining'});
  assert.equal(parseEvents(await running.text()).at(-1)?.name, 'done');
});

test('each stream fault has the configured effect', async t => {
  const rows = [
    {faults: {cutAfterTokens: 2}, count: undefined, last: undefined},
    {faults: {duplicateTokens: true}, count: 8, last: 'done'},
    {faults: {skipToken: 1}, count: 3, last: 'done'},
    {faults: {failRate: 1}, count: 2, last: 'error'},
  ];
  for (const {faults, count, last} of rows) {
    const engine = await startEngine(t);
    engine.setFaults(faults);
    if (count === undefined) {
      await assert.rejects(generate(engine));
      continue;
    }
    const events = await generate(engine);
    assert.equal(listTokenTexts(events).length, count);
    assert.equal(events.at(-1)?.name, last);
  }
});

test('refused requests are not executed', async t => {
  const engine = await startEngine(t);
  engine.setFaults({refuse: 1});
  assert.equal((await send(engine)).status, 429);
  assert.equal((await send(engine, {version: 'v9'})).status, 409);
  assert.deepEqual(engine.counters().executions, {});
  assert.equal(engine.counters().refused, 2);
});

test('a request whose deadline passes in the queue is refused without execution', async t => {
  const engine = await startEngine(t, {slots: 1, tokenDelayMs: 20});
  const running = await send(engine, {maxTokens: 10_000});
  const late = await send(engine, {requestId: 'late', deadlineMs: 20});
  assert.equal(late.status, 503);
  assert.deepEqual(await late.json(), {code: 'deadline_passed'});
  assert.equal(engine.counters().executions.late, undefined);
  await running.body?.cancel();
});

test('the load report is refreshed only at its interval', async t => {
  const engine = await startEngine(t, {loadLagMs: 60_000, tokenDelayMs: 20});
  const response = await send(engine, {maxTokens: 10_000});
  assert.equal(engine.load().running, 0);
  await response.body?.cancel();
});
