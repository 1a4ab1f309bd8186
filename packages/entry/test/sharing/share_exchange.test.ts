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
import type {MemberStatus} from '../../src/control/rules_keeper.js';

const VERSION = {model: 'quick', version: 'v2'};

interface Entry {
  readonly ledger: EvidenceTable;
  readonly status: MemberStatus;
  readonly sent: EvidenceDelta[];
  readonly server: Server;
  broadcast(): Promise<void>;
  stop(): void;
}

const started: Entry[] = [];

afterEach(() => {
  for (const entry of started.splice(0)) entry.stop();
});

async function startEntry(host: string, live: () => readonly Entry[]) {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const member = {host, incarnation: 'run-1'};
  const ledger = EvidenceTable.create(member);
  const sent: EvidenceDelta[] = [];
  const transports = createPeerTransports({timeoutMs: 2000});
  const exchange = startShareExchange({
    directory: {
      listLivePeers: () =>
        live().flatMap(({status}) => (status.host === host ? [] : [status])),
      choosePeerInOtherDomain: () => undefined,
    },
    transports,
    logger: SILENT_LOGGER,
    random: () => 0.5,
    onPeriod: () => undefined,
    collect({afterRevision, scope}) {
      const evidence = ledger.createDelta(afterRevision, scope);
      sent.push(evidence);
      const limitUse = {member: `${host}/run-1`, uses: []};
      return {
        evidence,
        rulings: [],
        limitUse,
        leavingServers: [],
        rolloutSteps: new Map<string, number>(),
      };
    },
    merge: ({evidence}) => ledger.merge(evidence),
  });
  server.on('request', connectNodeAdapter({routes: exchange.routes}));
  const entry: Entry = {
    ledger,
    sent,
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

function readRequests(entry: Entry): number {
  const {rows} = entry.ledger.createDelta(0);
  return rows.reduce((sum, {counters}) => sum + counters.requests, 0);
}

test('evidence that a peer acknowledged is not sent again', async () => {
  const all: Entry[] = [];
  const [a, b] = [
    await startEntry('a', () => all),
    await startEntry('b', () => all),
  ];
  all.push(a, b);
  a.ledger.record(VERSION, {requests: 3});
  await a.broadcast();
  assert.equal(readRequests(b), 3);
  a.sent.length = 0;
  await a.broadcast();
  assert.deepEqual(a.sent[0].rows, []);
  a.ledger.record(VERSION, {requests: 2});
  await a.broadcast();
  assert.equal(readRequests(b), 5);
});

test('evidence whose message got no answer is sent again', async () => {
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
  a.ledger.record(VERSION, {requests: 3});
  await a.broadcast();
  assert.equal(readRequests(b), 0);
  b.server.removeAllListeners('request');
  b.server.on('request', handle);
  await a.broadcast();
  assert.equal(readRequests(b), 3);
});

test('a new entry hears of the evidence of one that has ended', async () => {
  const all: Entry[] = [];
  const [a, b] = [
    await startEntry('a', () => all),
    await startEntry('b', () => all),
  ];
  all.push(a, b);
  a.ledger.record(VERSION, {requests: 3});
  await a.broadcast();
  await b.broadcast();
  all.shift();
  const c = await startEntry('c', () => all);
  all.push(c);
  await b.broadcast();
  assert.equal(readRequests(c), 3);
});
