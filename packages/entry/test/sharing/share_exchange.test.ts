import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, test} from 'node:test';
import {EvidenceTable, type EvidenceDelta} from '@anvilrudder/core';
import {SILENT_LOGGER} from '@anvilrudder/observability';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {createPeerTransports} from '../../src/control/peering/peer_transports.js';
import {startShareExchange} from '../../src/control/sharing/share_exchange.js';
import type {MemberStatus} from '../../src/control/rules_manager.js';

const VERSION = {model: 'quick', version: 'v2'};

interface Entry {
  readonly evidence: EvidenceTable;
  readonly status: MemberStatus;
  readonly sentDeltas: EvidenceDelta[];
  readonly server: Server;
  broadcast(): Promise<void>;
  stop(): void;
}

const started: Entry[] = [];

afterEach(() => {
  for (const entry of started.splice(0)) entry.stop();
});

async function startEntry(host: string, listEntries: () => readonly Entry[]) {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const member = {host, incarnation: 'run-1'};
  const evidence = EvidenceTable.create(member);
  const sentDeltas: EvidenceDelta[] = [];
  const transports = createPeerTransports({timeoutMs: 2000});
  const exchange = startShareExchange({
    directory: {
      listLivePeers: () =>
        listEntries().flatMap(({status}) =>
          status.host === host ? [] : [status],
        ),
      choosePeerInOtherDomain: () => undefined,
    },
    transports,
    logger: SILENT_LOGGER,
    random: () => 0.5,
    onPeriod: () => undefined,
    collect({afterRevision, scope}) {
      const delta = evidence.createDelta(afterRevision, scope);
      sentDeltas.push(delta);
      const limitUse = {member: `${host}/run-1`, uses: []};
      return {
        evidence: delta,
        rulings: [],
        limitUse,
        leavingServers: [],
        rolloutSteps: new Map<string, number>(),
      };
    },
    merge: ({evidence: received}) => evidence.merge(received),
  });
  server.on('request', connectNodeAdapter({routes: exchange.routes}));
  const entry: Entry = {
    evidence,
    sentDeltas,
    server,
    status: {
      ...member,
      failureDomain: 'domain-a',
      peerAddress: `127.0.0.1:${port}`,
      heardAgeMs: 0,
      revision: 1,
    },
    broadcast: () => exchange.broadcast(),
    stop() {
      exchange.stop();
      transports.close();
      server.close();
      server.closeAllConnections();
    },
  };
  started.push(entry);
  return entry;
}

function countRequests(entry: Entry): number {
  const {rows} = entry.evidence.createDelta(0);
  return rows.reduce((sum, {counters}) => sum + counters.requests, 0);
}

test('evidence that a peer acknowledged is not sent again', async () => {
  const all: Entry[] = [];
  const [a, b] = [
    await startEntry('a', () => all),
    await startEntry('b', () => all),
  ];
  all.push(a, b);
  a.evidence.record(VERSION, {requests: 3});
  await a.broadcast();
  assert.equal(countRequests(b), 3);
  a.sentDeltas.length = 0;
  await a.broadcast();
  assert.deepEqual(a.sentDeltas[0].rows, []);
  a.evidence.record(VERSION, {requests: 2});
  await a.broadcast();
  assert.equal(countRequests(b), 5);
});

test('evidence is sent again after a call without an answer', async () => {
  const all: Entry[] = [];
  const [a, b] = [
    await startEntry('a', () => all),
    await startEntry('b', () => all),
  ];
  all.push(a, b);
  const [handle] = b.server.listeners('request') as Array<
    Parameters<typeof createServer>[1] & object
  >;
  b.server.removeAllListeners('request');
  b.server.on('request', request => request.socket.destroy());
  a.evidence.record(VERSION, {requests: 3});
  await a.broadcast();
  assert.equal(countRequests(b), 0);
  b.server.removeAllListeners('request');
  b.server.on('request', handle);
  await a.broadcast();
  assert.equal(countRequests(b), 3);
});

test('a new entry receives the evidence of an entry that has stopped', async () => {
  const all: Entry[] = [];
  const [a, b] = [
    await startEntry('a', () => all),
    await startEntry('b', () => all),
  ];
  all.push(a, b);
  a.evidence.record(VERSION, {requests: 3});
  await a.broadcast();
  await b.broadcast();
  all.shift();
  const c = await startEntry('c', () => all);
  all.push(c);
  await b.broadcast();
  assert.equal(countRequests(c), 3);
});
