import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  chooseServer,
  createRandom,
  readRemoteRunning,
  ServerTable,
  type GenerationDemand,
  type PlacementRequest,
  type RegisteredServer,
} from '../../src/index.js';

const READ_MS_PER_TOKEN = 0.05;

function createServer(index: number): RegisteredServer {
  return {
    id: `i-${index}`,
    service: 'engine',
    address: `10.0.0.${index}:80`,
    failureDomain: 'a',
    softwareVersion: 'v1',
    slots: 64,
    isLeaving: false,
  };
}

function createTable(count: number): ServerTable {
  const table = ServerTable.create();
  for (let index = 0; index < count; index += 1) table.put(createServer(index));
  return table;
}

function createDemand(shared: string, own: string): GenerationDemand {
  const parts = [
    {id: shared, tokens: 10_000},
    {id: own, tokens: 1000},
  ];
  return {model: undefined, promptTokens: 11_000, maxOutputTokens: 50, parts};
}

function createRequest(
  table: ServerTable,
  demand: GenerationDemand,
  nowMs = 0,
): PlacementRequest {
  return {
    candidates: table.list('engine'),
    failureDomain: 'a',
    hostCount: 1,
    crossDomainCostMs: 5,
    generation: {model: 'm', demand, prefillMsPerToken: READ_MS_PER_TOKEN},
    nowMs,
    random: createRandom(1),
  };
}

test('hosts agree on the home of a shared prefix', () => {
  const homes = [1, 2, 3].map(() => {
    const table = createTable(8);
    const demand = createDemand('prefix-1', 'own');
    return chooseServer(createRequest(table, demand))?.record.server.id;
  });
  assert.equal(new Set(homes).size, 1);
});

test('prefixes spread over the servers', () => {
  const table = createTable(8);
  const homes = Array.from({length: 200}, (_, index) => {
    const demand = createDemand(`prefix-${index}`, 'own');
    return chooseServer(createRequest(table, demand))?.record.server.id;
  });
  assert.equal(new Set(homes).size, 8);
});

test('a request follows the part of its prompt that a server has read', () => {
  const table = createTable(8);
  const first = createDemand('prefix', 'own-1');
  const elsewhere = table
    .list('engine')
    .find(
      ({server}) =>
        server.id !==
        chooseServer(createRequest(table, first))?.record.server.id,
    );
  assert.ok(elsewhere);
  const send = table.begin(elsewhere.server.id, 10, 'm', first, 0);
  assert.ok(send);
  table.end(send, 'answered', 1);
  const second = createDemand('prefix', 'own-2');
  const choice = chooseServer(createRequest(table, second, 2));
  assert.equal(choice?.record.server.id, elsewhere.server.id);
  assert.equal(choice?.workMs, 1000 * READ_MS_PER_TOKEN);
});

test('a hot prefix spreads before its home is behind by more than reading it anew', () => {
  const table = createTable(8);
  const waiting = new Map<string, number>();
  for (let index = 0; index < 64; index += 1) {
    const demand = createDemand('hot', `own-${index}`);
    const choice = chooseServer(createRequest(table, demand, index));
    assert.ok(choice);
    const {id} = choice.record.server;
    table.begin(id, choice.workMs, 'm', demand, index);
    waiting.set(id, (waiting.get(id) ?? 0) + choice.workMs);
  }
  const busiestMs = Math.max(...waiting.values());
  const totalMs = [...waiting.values()].reduce((sum, ms) => sum + ms, 0);
  assert.ok(waiting.size >= 4, `only ${waiting.size} servers were used`);
  assert.ok(
    busiestMs < totalMs / 2,
    `${busiestMs} of ${totalMs} ms wait at one`,
  );
});

test('a server that fails gets less, and is tried again later', () => {
  const table = createTable(2);
  const demand = createDemand('prefix', 'own');
  const home =
    chooseServer(createRequest(table, demand))?.record.server.id ?? '';
  for (let count = 0; count < 4; count += 1) {
    const send = table.begin(home, 0, 'm', undefined, 10);
    assert.ok(send);
    table.end(send, 'lost', 10);
  }
  const during = chooseServer(createRequest(table, demand, 20));
  const after = chooseServer(createRequest(table, demand, 60_000));
  assert.notEqual(during?.record.server.id, home);
  assert.equal(after?.record.server.id, home);
});

test('a server that cannot be reached gets nothing for a while', () => {
  const table = createTable(2);
  const demand = createDemand('prefix', 'own');
  const home =
    chooseServer(createRequest(table, demand))?.record.server.id ?? '';
  const send = table.begin(home, 0, 'm', undefined, 10);
  assert.ok(send);
  table.end(send, 'unsent', 10);
  const next = chooseServer(createRequest(table, demand, 20));
  assert.notEqual(next?.record.server.id, home);
});

test('an ejected server is better than none', () => {
  const table = createTable(1);
  for (let count = 0; count < 4; count += 1) {
    const send = table.begin('i-0', 0, 'm', undefined, 10);
    assert.ok(send);
    table.end(send, 'unsent', 10);
  }
  const demand = createDemand('prefix', 'own');
  assert.ok(chooseServer(createRequest(table, demand, 11)));
});

test('a server forgets the least recently used parts when its memory is full', () => {
  const table = createTable(1);
  table.setKvCacheTokens('engine', 20_000);
  const first = createDemand('first', 'own-1');
  const second = createDemand('second', 'own-2');
  const {prefixCache: parts} = table.list('engine')[0];
  table.begin('i-0', 10, 'm', first, 0);
  assert.equal(parts.countKnownTokens('m', first.parts), 11_000);
  table.begin('i-0', 10, 'm', second, 1);
  assert.equal(parts.countKnownTokens('m', first.parts), 0);
  assert.equal(parts.countKnownTokens('m', second.parts), 11_000);
});

test('28 hosts that tell each other what servers read read shared parts seldom again', () => {
  const hosts = Array.from({length: 28}, () => createTable(60));
  const random = createRandom(3);
  let readTokens = 0;
  const requests = 3000;
  for (let nowMs = 0; nowMs < requests * 10; nowMs += 10) {
    const prefix = `prefix-${Math.floor(random() * 300)}`;
    const demand = createDemand(prefix, `own-${nowMs}`);
    const host = Math.floor(random() * hosts.length);
    const choice = chooseServer({
      ...createRequest(hosts[host], demand, nowMs),
      hostCount: hosts.length,
      random,
    });
    assert.ok(choice);
    const serverId = choice.record.server.id;
    const known = choice.record.prefixCache.countKnownTokens('m', demand.parts);
    readTokens += demand.promptTokens - known;
    hosts[host].begin(serverId, choice.workMs, 'm', demand, nowMs);
    const {workMs} = choice;
    const work = {serverId, workMs, model: 'm', parts: demand.parts};
    for (const other of hosts) {
      if (other !== hosts[host]) other.recordRemoteWork(work, nowMs);
    }
  }
  const promptTokens = requests * 11_000;
  assert.ok(readTokens < promptTokens / 3, `${readTokens} tokens read`);
});

test('one request of its own does not keep a host of many from a prefix that is read', () => {
  const table = createTable(8);
  const first = createDemand('prefix', 'own-1');
  const at = chooseServer(createRequest(table, first))?.record.server.id ?? '';
  table.begin(at, 0, 'm', first, 0);
  const second = createDemand('prefix', 'own-2');
  const request = {...createRequest(table, second, 10), hostCount: 200};
  assert.equal(chooseServer(request)?.record.server.id, at);
});

test('requests of other hosts at a server count until they have probably ended', () => {
  const table = createTable(2);
  const work = {serverId: 'i-0', workMs: 1, model: 'm', parts: []};
  for (let count = 0; count < 50; count += 1) table.recordRemoteWork(work, 0);
  const demand = {...createDemand('a', 'b'), parts: []};
  const soon = chooseServer(createRequest(table, demand, 100));
  assert.equal(soon?.record.server.id, 'i-1');
  const [first] = table.list('engine');
  assert.ok(readRemoteRunning(first, 100) > 45);
  assert.ok(readRemoteRunning(first, 20_000) < 1);
});
