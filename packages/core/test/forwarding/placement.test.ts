import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  chooseServer,
  createRandom,
  estimateRemoteRunning,
  ServerTable,
  type GenerationDemand,
  type PlacementRequest,
  type RegisteredServer,
} from '../../src/index.js';

const PREFILL_MS_PER_TOKEN = 0.05;

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
    generation: {model: 'm', demand, prefillMsPerToken: PREFILL_MS_PER_TOKEN},
    nowMs,
    random: createRandom(1),
  };
}

test('hosts agree on the preferred server of a shared prefix', () => {
  const preferredIds = [1, 2, 3].map(() => {
    const table = createTable(8);
    const demand = createDemand('prefix-1', 'own');
    return chooseServer(createRequest(table, demand))?.record.server.id;
  });
  assert.equal(new Set(preferredIds).size, 1);
});

test('prefixes spread over the servers', () => {
  const table = createTable(8);
  const preferredIds = Array.from({length: 200}, (_, index) => {
    const demand = createDemand(`prefix-${index}`, 'own');
    return chooseServer(createRequest(table, demand))?.record.server.id;
  });
  assert.equal(new Set(preferredIds).size, 8);
});

test('a request goes to the server that has cached a part of its prompt', () => {
  const table = createTable(8);
  const first = createDemand('prefix', 'own-1');
  const otherServer = table
    .list('engine')
    .find(
      ({server}) =>
        server.id !==
        chooseServer(createRequest(table, first))?.record.server.id,
    );
  assert.ok(otherServer);
  const send = table.begin(otherServer.server.id, 10, 'm', first, 0);
  assert.ok(send);
  table.end(send, 'answered', 1);
  const second = createDemand('prefix', 'own-2');
  const choice = chooseServer(createRequest(table, second, 2));
  assert.equal(choice?.record.server.id, otherServer.server.id);
  assert.equal(choice?.workMs, 1000 * PREFILL_MS_PER_TOKEN);
});

test('a hot prefix spreads before the backlog of its preferred server exceeds the cost of another prefill', () => {
  const table = createTable(8);
  const backlogMsByServer = new Map<string, number>();
  for (let index = 0; index < 64; index += 1) {
    const demand = createDemand('hot', `own-${index}`);
    const choice = chooseServer(createRequest(table, demand, index));
    assert.ok(choice);
    const {id} = choice.record.server;
    table.begin(id, choice.workMs, 'm', demand, index);
    backlogMsByServer.set(id, (backlogMsByServer.get(id) ?? 0) + choice.workMs);
  }
  const longestBacklogMs = Math.max(...backlogMsByServer.values());
  const totalMs = [...backlogMsByServer.values()].reduce(
    (sum, ms) => sum + ms,
    0,
  );
  assert.ok(
    backlogMsByServer.size >= 4,
    `only ${backlogMsByServer.size} servers were used`,
  );
  assert.ok(
    longestBacklogMs < totalMs / 2,
    `${longestBacklogMs} of ${totalMs} ms of backlog at one server`,
  );
});

test('a failing server is avoided, and tried again later', () => {
  const table = createTable(2);
  const demand = createDemand('prefix', 'own');
  const preferredId =
    chooseServer(createRequest(table, demand))?.record.server.id ?? '';
  for (let count = 0; count < 4; count += 1) {
    const send = table.begin(preferredId, 0, 'm', undefined, 10);
    assert.ok(send);
    table.end(send, 'lost', 10);
  }
  const during = chooseServer(createRequest(table, demand, 20));
  const after = chooseServer(createRequest(table, demand, 60_000));
  assert.notEqual(during?.record.server.id, preferredId);
  assert.equal(after?.record.server.id, preferredId);
});

test('an unreachable server gets no requests for a while', () => {
  const table = createTable(2);
  const demand = createDemand('prefix', 'own');
  const preferredId =
    chooseServer(createRequest(table, demand))?.record.server.id ?? '';
  const send = table.begin(preferredId, 0, 'm', undefined, 10);
  assert.ok(send);
  table.end(send, 'unsent', 10);
  const next = chooseServer(createRequest(table, demand, 20));
  assert.notEqual(next?.record.server.id, preferredId);
});

test('an ejected server is chosen when there is no other', () => {
  const table = createTable(1);
  for (let count = 0; count < 4; count += 1) {
    const send = table.begin('i-0', 0, 'm', undefined, 10);
    assert.ok(send);
    table.end(send, 'unsent', 10);
  }
  const demand = createDemand('prefix', 'own');
  assert.ok(chooseServer(createRequest(table, demand, 11)));
});

test('the least recently used parts are evicted when the KV cache is full', () => {
  const table = createTable(1);
  table.setKvCacheTokens('engine', 20_000);
  const first = createDemand('first', 'own-1');
  const second = createDemand('second', 'own-2');
  const {prefixCache: parts} = table.list('engine')[0];
  table.begin('i-0', 10, 'm', first, 0);
  assert.equal(parts.countCachedTokens('m', first.parts), 11_000);
  table.begin('i-0', 10, 'm', second, 1);
  assert.equal(parts.countCachedTokens('m', first.parts), 0);
  assert.equal(parts.countCachedTokens('m', second.parts), 11_000);
});

test('28 hosts that notify each other of their sends rarely repeat the prefill of shared parts', () => {
  const hosts = Array.from({length: 28}, () => createTable(60));
  const random = createRandom(3);
  let prefilledTokens = 0;
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
    const cachedTokens = choice.record.prefixCache.countCachedTokens(
      'm',
      demand.parts,
    );
    prefilledTokens += demand.promptTokens - cachedTokens;
    hosts[host].begin(serverId, choice.workMs, 'm', demand, nowMs);
    const {workMs} = choice;
    const work = {serverId, workMs, model: 'm', parts: demand.parts};
    for (const other of hosts) {
      if (other !== hosts[host]) other.recordRemoteWork(work, nowMs);
    }
  }
  const promptTokens = requests * 11_000;
  assert.ok(
    prefilledTokens < promptTokens / 3,
    `${prefilledTokens} tokens prefilled`,
  );
});

test('one own request does not keep one of many hosts from the server that has cached the prefix', () => {
  const table = createTable(8);
  const first = createDemand('prefix', 'own-1');
  const serverId =
    chooseServer(createRequest(table, first))?.record.server.id ?? '';
  table.begin(serverId, 0, 'm', first, 0);
  const second = createDemand('prefix', 'own-2');
  const request = {...createRequest(table, second, 10), hostCount: 200};
  assert.equal(chooseServer(request)?.record.server.id, serverId);
});

test('requests of other hosts count as running until they have probably ended', () => {
  const table = createTable(2);
  const work = {serverId: 'i-0', workMs: 1, model: 'm', parts: []};
  for (let count = 0; count < 50; count += 1) table.recordRemoteWork(work, 0);
  const demand = {...createDemand('a', 'b'), parts: []};
  const soon = chooseServer(createRequest(table, demand, 100));
  assert.equal(soon?.record.server.id, 'i-1');
  const [first] = table.list('engine');
  assert.ok(estimateRemoteRunning(first, 100) > 45);
  assert.ok(estimateRemoteRunning(first, 20_000) < 1);
});
