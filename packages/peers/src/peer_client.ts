import {createClient, type Client} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {
  PeerService,
  type ExchangeRequest,
  type ExchangeResponse,
  type FetchContentRequest,
  type FetchContentResponse,
} from './gen/anvilrudder/v1/peer_pb.js';
import {PeerAgent, type PeerTlsProvider} from './peer_agent.js';
import type {TrafficCounter} from './traffic_counter.js';

/** Options of {@link PeerClient.create}. */
export interface PeerClientOptions {
  readonly timeoutMs: number;
  /** Certificates for HTTPS; plain HTTP is used if this is undefined. */
  readonly tls?: PeerTlsProvider | undefined;
  /** Local address of the connections; by default the system selects it. */
  readonly localAddress?: string;
  readonly traffic: TrafficCounter;
}

/** Calls other entries by address, over persistent connections. */
export class PeerClient {
  private readonly clients = new Map<string, Client<typeof PeerService>>();
  private readonly agent: PeerAgent;

  private constructor(private readonly options: PeerClientOptions) {
    this.agent = PeerAgent.create(options);
  }

  /**
   * Creates a client for all peers.
   *
   * @example
   * ```ts
   * const client = PeerClient.create({timeoutMs: 1_000, traffic});
   * ```
   */
  static create(options: PeerClientOptions): PeerClient {
    return new PeerClient(options);
  }

  /**
   * Sends a report and returns the report of the peer; rejects with a
   * ConnectError.
   */
  async exchange(
    address: string,
    request: ExchangeRequest,
    signal?: AbortSignal,
  ): Promise<ExchangeResponse> {
    return this.resolveClient(address).exchange(request, {signal});
  }

  /** Fetches the rule file with a digest; rejects with a ConnectError. */
  async fetchContent(
    address: string,
    request: FetchContentRequest,
    signal?: AbortSignal,
  ): Promise<FetchContentResponse> {
    return this.resolveClient(address).fetchContent(request, {signal});
  }

  /** Closes all connections. */
  close(): void {
    this.agent.close();
    this.clients.clear();
  }

  /** Removes the clients of all peers whose address is not in the set. */
  retainAddresses(addresses: ReadonlySet<string>): void {
    for (const address of this.clients.keys()) {
      if (!addresses.has(address)) this.clients.delete(address);
    }
  }

  private resolveClient(address: string): Client<typeof PeerService> {
    this.options.traffic.countCall();
    const agent = this.agent.resolveAgent();
    const existing = this.clients.get(address);
    if (existing !== undefined) return existing;
    const transport = createConnectTransport({
      baseUrl: this.agent.resolveBaseUrl(address),
      httpVersion: '1.1',
      nodeOptions: {agent},
      useBinaryFormat: true,
      acceptCompression: [],
      defaultTimeoutMs: this.options.timeoutMs,
    });
    const client = createClient(PeerService, transport);
    this.clients.set(address, client);
    return client;
  }
}
