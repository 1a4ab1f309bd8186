import {
  parseHead,
  type Member,
  type RuleSet,
  type RulesHead,
} from '@anvilrudder/core';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
  createRulesKeeper,
  type AcceptanceKeeper,
  type ParsedRules,
  type RulesKeeperOptions,
} from '../../src/control/acceptance/index.js';
import type {ChangeOutcome} from '../../src/control/rules_keeper.js';
import {MemoryStore} from './memory_store.js';

/** Keeper options with short times, so that tests run fast. */
export const FAST_OPTIONS = {
  acceptance: {
    freshnessMs: 600,
    marginMs: 50,
    abortAfterMs: 400,
    coordinatorSilenceMs: 300,
    lostAfterMs: 60_000,
  },
  exchangePeriodMs: 50,
  confirmPeriodMs: 50,
  peerTimeoutMs: 200,
  storeTimeoutMs: 300,
  loadWaitMs: 100,
  maxBackoffMs: 200,
  applyTimeoutMs: 5_000,
  leaveTimeoutMs: 500,
} satisfies Partial<RulesKeeperOptions>;

/**
 * Last number of the loopback address of the first entry. Each entry calls its
 * peers from an address of its own, so that it can be disconnected.
 */
const FIRST_LOCAL_NUMBER = 2;
const WAIT_LIMIT_MS = 20_000;

const EMPTY_RULES: RuleSet = {
  models: [],
  kinds: [],
  services: [],
  allows: [],
  targets: [],
  rollouts: [],
  withdrawals: [],
  drains: [],
  limits: [],
  cascades: [],
};

/** An entry with a keeper, its own access to the store and a peer server. */
export interface ClusterEntry {
  readonly member: Member;
  readonly keeper: AcceptanceKeeper;
  readonly server: Server;
  /** Connects this entry to its peers and the store, or disconnects it. */
  setConnected(isConnected: boolean): void;
  /** Disconnects and stops the entry, as when its host fails. */
  kill(): Promise<void>;
}

/** Keepers in this process that communicate over loopback. */
export class KeeperCluster {
  readonly store = MemoryStore.create();
  readonly entries: ClusterEntry[] = [];
  private startedCount = 0;
  private readonly disconnectedAddresses = new Set<string>();

  static create(): KeeperCluster {
    return new KeeperCluster();
  }

  /**
   * Starts an entry. With the host and port of an earlier entry, it is the
   * successor of that entry.
   */
  async start(
    host: string,
    options: Partial<RulesKeeperOptions> = {},
    port = 0,
  ): Promise<ClusterEntry> {
    const server = createServer();
    const localAddress = `127.0.0.${FIRST_LOCAL_NUMBER + this.startedCount}`;
    server.listen(port, '127.0.0.1');
    await once(server, 'listening');
    const address = server.address() as AddressInfo;
    const member: Member = {
      host,
      incarnation: `run-${this.startedCount++}`,
      failureDomain: `d-${host}`,
      peerAddress: `127.0.0.1:${address.port}`,
    };
    const {store} = this;
    const keeper = createRulesKeeper({
      ...FAST_OPTIONS,
      self: member,
      store: createDisconnectableStore(store, () =>
        this.isConnected(localAddress),
      ),
      parse: parseTestRules,
      localAddress,
      initialRules: 'first',
      listSeedAddresses: () => this.entries.map(e => e.member.peerAddress),
      ...options,
    });
    keeper.trackPeerServer(server);
    const handle = connectNodeAdapter({routes: keeper.routes});
    server.on('request', (request, response) => {
      const isBothConnected =
        this.isConnected(localAddress) &&
        this.isConnected(request.socket.remoteAddress ?? '');
      if (isBothConnected) handle(request, response);
      else request.socket.destroy();
    });
    const entry: ClusterEntry = {
      member,
      keeper,
      server,
      setConnected: value => {
        if (value) this.disconnectedAddresses.delete(localAddress);
        else this.disconnectedAddresses.add(localAddress);
      },
      kill: async () => {
        this.disconnectedAddresses.add(localAddress);
        server.closeAllConnections();
        server.close();
        await keeper.stop();
      },
    };
    this.entries.push(entry);
    return entry;
  }

  /** Starts members `h1` to `hN` and waits until all have joined. */
  async startMembers(
    count: number,
    options: Partial<RulesKeeperOptions> = {},
  ): Promise<readonly ClusterEntry[]> {
    const started: ClusterEntry[] = [];
    for (let index = 1; index <= count; index++) {
      started.push(await this.start(`h${index}`, options));
    }
    await waitUntil(() =>
      started.every(({keeper}) => {
        const {members, pendingChangeId, servesBy} = keeper.status();
        return (
          members.length === count &&
          pendingChangeId === undefined &&
          servesBy === 'store'
        );
      }),
    );
    return started;
  }

  /** Returns the current head in the store. */
  readHead(): RulesHead | undefined {
    const object = this.store.objects.get('rules/head');
    return object === undefined ? undefined : parseHead(object.value);
  }

  private isConnected(localAddress: string): boolean {
    return !this.disconnectedAddresses.has(localAddress);
  }

  /** Stops all entries. */
  async stop(): Promise<void> {
    await Promise.all(this.entries.map(entry => entry.kill()));
  }
}

/** Applies a text as rule file; the syntax of the lines is not checked. */
export async function applyText(
  entry: ClusterEntry,
  content: string,
  options: {
    readonly baseRevision?: number;
    readonly changeId?: string;
    readonly why?: string;
    readonly withoutHosts?: readonly string[];
  } = {},
): Promise<ChangeOutcome> {
  return entry.keeper.apply({
    changeId: options.changeId ?? `change-${content.slice(0, 20)}`,
    who: 'operator',
    why: options.why ?? `to have ${content}`,
    content,
    baseRevision: options.baseRevision ?? entry.keeper.status().revision,
    withoutHosts: options.withoutHosts ?? [],
  });
}

/** Waits until a condition holds; throws if it does not hold in time. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  const endAtMs = performance.now() + WAIT_LIMIT_MS;
  while (!condition()) {
    if (performance.now() > endAtMs) throw new Error('The wait timed out.');
    await new Promise(resolve => setTimeout(resolve, 5));
  }
}

// Accepts every text that does not contain "broken", without reading rules.
function parseTestRules(text: string): ParsedRules {
  if (!text.includes('broken')) return {rules: {...EMPTY_RULES}, findings: []};
  const finding = {
    position: {line: 1, column: 1},
    severity: 'error',
    code: 'unknown_verb',
    message: 'unknown verb',
  } as const;
  return {rules: undefined, findings: [finding]};
}

// Returns a view of the store whose calls fail while the entry is disconnected.
function createDisconnectableStore(
  store: MemoryStore,
  isConnected: () => boolean,
): MemoryStore {
  return new Proxy(store, {
    get(target, name) {
      const value: unknown = Reflect.get(target, name);
      if (typeof value !== 'function') return value;
      return async (...args: unknown[]) => {
        if (!isConnected()) {
          throw Object.assign(new Error('disconnected'), {execution: 'notRun'});
        }
        return (value as (...args: unknown[]) => unknown).apply(target, args);
      };
    },
  });
}
