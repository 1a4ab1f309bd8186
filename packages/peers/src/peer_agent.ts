import {Agent as HttpAgent} from 'node:http';
import {Agent as HttpsAgent, type AgentOptions} from 'node:https';
import type {Socket} from 'node:net';
import type {TrafficCounter} from './traffic_counter.js';

/** How long an unused connection to a peer is kept. */
const IDLE_SOCKET_MS = 5_000;

/** Returns the certificates in use, which may be renewed between calls. */
export type PeerTlsProvider = () => AgentOptions;

/** Options of {@link PeerAgent.create}. */
export interface PeerAgentOptions {
  /** Certificates for HTTPS; plain HTTP without them. */
  readonly tls?: PeerTlsProvider | undefined;
  /** Local address of the connections; the system's choice without it. */
  readonly localAddress?: string | undefined;
  /** Counts the bytes of the connections. */
  readonly traffic?: TrafficCounter | undefined;
}

/** Connections to peers that are kept open, over TLS where it is set. */
export class PeerAgent {
  private constructor(
    private readonly options: PeerAgentOptions,
    private readonly agent: HttpAgent | HttpsAgent,
  ) {}

  /**
   * @example
   * ```ts
   * const agent = PeerAgent.create({tls: () => ({cert, key, ca})});
   * ```
   */
  static create(options: PeerAgentOptions): PeerAgent {
    const {tls, localAddress, traffic} = options;
    const agentOptions = {
      keepAlive: true,
      timeout: IDLE_SOCKET_MS,
      localAddress,
    };
    const agent =
      tls === undefined
        ? new HttpAgent(agentOptions)
        : new HttpsAgent({...tls(), ...agentOptions});
    if (traffic !== undefined) trackConnections(agent, traffic);
    return new PeerAgent(options, agent);
  }

  /** Returns the base URL of a peer. */
  resolveBaseUrl(address: string): string {
    const scheme = this.options.tls === undefined ? 'http' : 'https';
    return `${scheme}://${address}`;
  }

  /**
   * Returns the agent with the certificates in use. Connections made with
   * others are not used again and close when they have been idle for long.
   */
  resolveAgent(): HttpAgent | HttpsAgent {
    const {tls} = this.options;
    if (tls !== undefined && this.agent instanceof HttpsAgent) {
      Object.assign(this.agent.options, tls());
    }
    return this.agent;
  }

  /** Closes all connections. */
  close(): void {
    this.agent.destroy();
  }
}

function trackConnections(agent: HttpAgent, traffic: TrafficCounter): void {
  const createConnection = agent.createConnection.bind(agent);
  agent.createConnection = (connectOptions, callback) => {
    const socket = createConnection(connectOptions, callback);
    if (socket !== undefined && socket !== null) {
      traffic.track(socket as Socket);
    }
    return socket;
  };
}
