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
  createRulesManager,
  type AcceptanceManager,
  type ParsedRules,
  type RulesManagerOptions,
} from '../../src/control/acceptance/index.js';
import type {ChangeOutcome} from '../../src/control/rules_manager.js';
import {MemoryStore} from './memory_store.js';

/** Rules manager options with short times, so that tests run fast. */
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
} satisfies Partial<RulesManagerOptions>;

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

/** An entry with a rules manager, its own access to the store and a peer server. */
export interface ClusterEntry {
  readonly member: Member;
  readonly rulesManager: AcceptanceManager;
  readonly server: Server;
  /** Connects this entry to its peers and the store, or disconnects it. */
  setConnected(isConnected: boolean): void;
  /** Disconnects and stops the entry, as when its host fails. */
  kill(): Promise<void>;
}

/** Rules managers in this process that communicate over loopback. */
export class RulesManagerCluster {
  readonly store = MemoryStore.create();
  readonly entries: ClusterEntry[] = [];
  private startedCount = 0;
  private readonly disconnectedAddresses = new Set<string>();

  static create(): RulesManagerCluster {
    return new RulesManagerCluster();
  }

  /**
   * Starts an entry. With the host and port of an earlier entry, it is the
   * successor of that entry.
   */
  async start(
    host: string,
    options: Partial<RulesManagerOptions> = {},
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
    const rulesManager = createRulesManager({
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
    rulesManager.trackPeerServer(server);
    const handle = connectNodeAdapter({routes: rulesManager.routes});
    server.on('request', (request, response) => {
      const isBothConnected =
        this.isConnected(localAddress) &&
        this.isConnected(request.socket.remoteAddress ?? '');
      if (isBothConnected) handle(request, response);
      else request.socket.destroy();
    });
    const entry: ClusterEntry = {
      member,
      rulesManager,
      server,
      setConnected: value => {
        if (value) this.disconnectedAddresses.delete(localAddress);
        else this.disconnectedAddresses.add(localAddress);
      },
      kill: async () => {
        this.disconnectedAddresses.add(localAddress);
        server.closeAllConnections();
        server.close();
        await rulesManager.stop();
      },
    };
    this.entries.push(entry);
    return entry;
  }

  /** Starts members `h1` to `hN` and waits until all have joined. */
  async startMembers(
    count: number,
    options: Partial<RulesManagerOptions> = {},
  ): Promise<readonly ClusterEntry[]> {
    const started: ClusterEntry[] = [];
    for (let index = 1; index <= count; index++) {
      started.push(await this.start(`h${index}`, options));
    }
    await waitUntil(() =>
      started.every(({rulesManager}) => {
        const {members, pendingChangeId, servesBy} = rulesManager.status();
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
  return entry.rulesManager.apply({
    changeId: options.changeId ?? `change-${content.slice(0, 20)}`,
    who: 'operator',
    why: options.why ?? `to have ${content}`,
    content,
    baseRevision: options.baseRevision ?? entry.rulesManager.status().revision,
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
