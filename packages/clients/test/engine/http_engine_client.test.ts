import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import {after, test} from 'node:test';
import {expectedTokens} from '@anvilrudder/stand-ins';
import {HttpEngineClient} from '../../src/index.js';
import {
  REQUEST,
  TOKEN_COUNT,
  engines,
  runGeneration,
  startEngine,
} from '../support/run_generation.js';

const LATE_END_MS = 20;

after(() => engines.close());

test('a complete answer contains all tokens and ends with their count', async t => {
  const engine = await startEngine(t);
  const {texts, last} = await runGeneration(engine.address);
  assert.deepEqual(texts, expectedTokens(REQUEST, TOKEN_COUNT));
  assert.equal(last?.kind === 'done' && last.tokenCount, TOKEN_COUNT);
});

test('duplicate tokens are skipped', async t => {
  const engine = await startEngine(t);
  engine.setFaults({duplicateTokens: true});
  const {texts, last} = await runGeneration(engine.address);
  assert.deepEqual(texts, expectedTokens(REQUEST, TOKEN_COUNT));
  assert.equal(last?.kind, 'done');
});

test('an interrupted stream is resumed to the complete answer', async t => {
  const engine = await startEngine(t);
  engine.setFaults({cutAfterTokens: 3, cutCount: 1});
  const broken = await runGeneration(engine.address);
  const resumeFromToken = broken.error?.tokenCount;
  const rest = await runGeneration(engine.address, {
    ...REQUEST,
    resumeFromToken,
  });
  const texts = [...broken.texts, ...rest.texts];
  assert.deepEqual(texts, expectedTokens(REQUEST, TOKEN_COUNT));
  assert.equal(rest.last?.kind, 'done');
});

test('the execution is unknown after an error response without a refusal code of its status', async t => {
  const rows = [
    {status: 500, body: '{"code":"full"}'},
    {status: 503, body: ''},
    {status: 503, body: '{"code":"full"}'},
    {status: 429, body: 'full'},
  ];
  for (const {status, body} of rows) {
    const server = createServer((_, response) => {
      response.writeHead(status).end(body);
    }).listen(0, '127.0.0.1');
    t.after(() => server.close());
    await new Promise(resolve => server.once('listening', resolve));
    const {port} = server.address() as {port: number};
    const {error} = await runGeneration(`127.0.0.1:${port}`);
    assert.equal(error?.phase, 'sent');
    assert.equal(error?.execution, 'unknown');
    assert.equal(error?.status, status);
  }
});

test('an aborted generation ends and frees its slot on the engine', async t => {
  const engine = await startEngine(t, {tokenDelayMs: 10});
  const abort = new AbortController();
  const request = {...REQUEST, maxTokens: 10_000};
  const running = runGeneration(engine.address, request, {
    signal: abort.signal,
  });
  while (engine.counters().tokens === 0) {
    await new Promise(resolve => setImmediate(resolve));
  }
  abort.abort();
  assert.equal((await running).error?.failure, 'aborted');
  while ((await engines.load(engine.address)).running > 0);
});

test('connections are reused after complete answers', async t => {
  let connections = 0;
  const server = createServer((_, response) => {
    response.writeHead(200);
    response.write('event: done\ndata: {"tokenCount":0}\n\n');
    setTimeout(() => response.end(), LATE_END_MS);
  });
  server.on('connection', () => (connections += 1));
  server.listen(0, '127.0.0.1');
  t.after(() => server.close());
  await new Promise(resolve => server.once('listening', resolve));
  const {port} = server.address() as {port: number};
  const single = HttpEngineClient.create({connectionsPerAddress: 1});
  t.after(() => single.close());
  for (let i = 0; i < 5; i += 1) {
    for await (const event of single.generate(`127.0.0.1:${port}`, REQUEST)) {
      assert.equal(event.kind, 'done');
      break;
    }
  }
  assert.equal(connections, 1);
});

test('load, cache events, cancellations and orders are decoded', async t => {
  const engine = await startEngine(t);
  const {address} = engine;
  await runGeneration(address, {...REQUEST, prompt: 'p'.repeat(64)});
  const load = await engines.load(address);
  assert.deepEqual(load.loaded, [{model: 'quick', version: 'v1'}]);
  assert.equal(load.cachedPrefixes, 1);
  const {events, next} = await engines.cacheEvents(address, 0);
  assert.deepEqual([events[0].kind, next], ['stored', 1]);
  assert.equal(await engines.cancel(address, 'unknown'), false);
  const wanted = {loaded: [], isDraining: true};
  const order = {fencing: 5, orderId: 'o', wanted};
  assert.deepEqual(await engines.order(address, order), {status: 'applied'});
  assert.deepEqual(await engines.order(address, {...order, fencing: 4}), {
    status: 'oldFencing',
    currentFencing: 5,
  });
  const {error} = await runGeneration(address);
  assert.equal(error?.code, 'draining');
});
