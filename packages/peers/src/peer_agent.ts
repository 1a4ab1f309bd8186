import {Agent as HttpAgent} from 'node:http';
import {Agent as HttpsAgent, type AgentOptions} from 'node:https';
import type {Socket} from 'node:net';
import type {TrafficCounter} from './traffic_counter.js';

/** Time after which an idle connection to a peer is closed. */
const IDLE_SOCKET_MS = 5_000;

/** Returns the current certificates, which may be renewed between calls. */
export type PeerTlsProvider = () => AgentOptions;

/** Options of {@link PeerAgent.create}. */
export interface PeerAgentOptions {
  /** Certificates for HTTPS; plain HTTP is used if this is undefined. */
  readonly tls?: PeerTlsProvider | undefined;
  /** Local address of the connections; by default the system selects it. */
  readonly localAddress?: string | undefined;
  /** Counts the bytes of the connections. */
  readonly traffic?: TrafficCounter | undefined;
}

/** Pool of persistent connections to peers, over TLS if it is configured. */
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
   * Returns the agent with the current certificates. Connections that were made
   * with earlier certificates are not reused and close after the idle timeout.
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
