import {formatHead, parseRules, type Member} from '@anvilrudder/core';
import {
  HEAD_KEY,
  HeadStore,
  createRulesManager,
  digestText,
  writeContent,
  type AcceptanceManager,
  type RulesManagerOptions,
} from '@anvilrudder/entry/control';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {CountingMemoryStore} from './counting_memory_store.js';
import {waitUntil} from './usage_meter.js';

const DOMAIN_COUNT = 4;
const STORE_TIMEOUT_MS = 2000;

/** A rules manager and the server at which peers reach it. */
export interface ClusterMember {
  readonly member: Member;
  readonly rulesManager: AcceptanceManager;
  readonly server: Server;
}

/** Peer traffic and object API usage, summed over all members. */
export interface ClusterTotals {
  readonly bytes: number;
  readonly messages: number;
  readonly objectCalls: number;
  readonly objectReadBytes: number;
}

/** Creates members to list in a head; no rules manager runs at their addresses. */
export function createFakeMembers(count: number): readonly Member[] {
  return Array.from({length: count}, (_, index) =>
    createMemberAt(index, `10.1.${index >> 8}.${index & 255}:7071`),
  );
}

/**
 * Rules managers in this process that share one store and exchange messages
 * over loopback connections.
 */
export class RulesManagerCluster {
  readonly store = CountingMemoryStore.create();
  readonly members: ClusterMember[] = [];

  private constructor(private readonly random: () => number) {}

  static create(random: () => number): RulesManagerCluster {
    return new RulesManagerCluster(random);
  }

  /**
   * Starts rules managers whose members are all listed in the initial head, and waits
   * until each has rules in force and a confirmation by the store.
   */
  async start(count: number, text: string): Promise<void> {
    const servers: Server[] = [];
    for (let i = 0; i < count; i++) servers.push(await listenOnLoopback());
    const members = servers.map((server, index) => createMember(server, index));
    const heads = HeadStore.create(this.store, STORE_TIMEOUT_MS);
    const digest = digestText(text);
    await writeContent(heads, digest, text);
    const head = formatHead({
      sequence: 1,
      rules: {revision: 1, digest},
      members,
      pending: undefined,
      recent: [],
    });
    await this.store.put(HEAD_KEY, head, {kind: 'absent'});
    servers.forEach((server, i) => this.startRulesManager(server, members[i]));
    await waitUntil(() =>
      this.members.every(
        ({rulesManager}) =>
          rulesManager.inForce() !== undefined &&
          rulesManager.status().servesBy === 'store',
      ),
    );
  }

  /** Starts one more rules manager, which adds itself to the members. */
  async join(): Promise<ClusterMember> {
    const server = await listenOnLoopback();
    const member = createMember(server, this.members.length);
    return this.startRulesManager(server, member);
  }

  /** Sums the traffic and the object API usage of all members so far. */
  readTotals(): ClusterTotals {
    const counters = this.members.map(({rulesManager}) =>
      rulesManager.counters(),
    );
    const sum = (read: (c: (typeof counters)[number]) => number): number =>
      counters.reduce((total, c) => total + read(c), 0);
    return {
      bytes: sum(
        ({peerClient, peerServer}) =>
          peerClient.bytesSent +
          peerClient.bytesReceived +
          peerServer.bytesSent +
          peerServer.bytesReceived,
      ),
      messages: sum(c => c.peerClient.calls),
      objectCalls: this.store.callCount,
      objectReadBytes: this.store.counts.readBytes,
    };
  }

  /** Stops all members concurrently. */
  async stop(): Promise<void> {
    await Promise.all(
      this.members.map(async ({rulesManager, server}) => {
        await rulesManager.stop();
        server.close();
        server.closeAllConnections();
      }),
    );
  }

  private startRulesManager(server: Server, self: Member): ClusterMember {
    const options: RulesManagerOptions = {
      self,
      store: this.store,
      parse: parseRules,
      listSeedAddresses: () => this.members.map(m => m.member.peerAddress),
      random: this.random,
      leaveTimeoutMs: 0,
    };
    const rulesManager = createRulesManager(options);
    rulesManager.trackPeerServer(server);
    server.on('request', connectNodeAdapter({routes: rulesManager.routes}));
    const started = {member: self, rulesManager, server};
    this.members.push(started);
    return started;
  }
}

async function listenOnLoopback(): Promise<Server> {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return server;
}

function createMember(server: Server, index: number): Member {
  const {port} = server.address() as AddressInfo;
  return createMemberAt(index, `127.0.0.1:${port}`);
}

function createMemberAt(index: number, peerAddress: string): Member {
  return {
    host: `entry-${index}`,
    incarnation: `4d0c6f9e-6b3a-4b62-9a52-${String(index).padStart(12, '0')}`,
    failureDomain: `domain-${index % DOMAIN_COUNT}`,
    peerAddress,
  };
}
