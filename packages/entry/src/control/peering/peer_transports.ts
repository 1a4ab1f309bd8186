import type {Transport} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {PeerAgent, type PeerTlsProvider} from '@anvilrudder/peers';

/** Options of {@link createPeerTransports}. */
export interface PeerTransportsOptions {
  /** Timeout of one call. */
  readonly timeoutMs: number;
  /** Certificates for HTTPS; plain HTTP without them. */
  readonly tls?: PeerTlsProvider | undefined;
}

/** Transports to other entries by address, over persistent connections. */
export interface PeerTransports {
  /** Returns the transport to an `ip:port` address. */
  resolve(address: string): Transport;
  /** Closes all connections. */
  close(): void;
}

/**
 * Creates the transports to other entries.
 *
 * @example
 * ```ts
 * const client = createClient(ShareService, transports.resolve(address));
 * ```
 */
export function createPeerTransports(
  options: PeerTransportsOptions,
): PeerTransports {
  const peerAgent = PeerAgent.create({tls: options.tls});
  const transports = new Map<string, Transport>();
  return {
    resolve(address) {
      const agent = peerAgent.resolveAgent();
      let transport = transports.get(address);
      if (transport === undefined) {
        transport = createConnectTransport({
          httpVersion: '1.1',
          baseUrl: peerAgent.resolveBaseUrl(address),
          defaultTimeoutMs: options.timeoutMs,
          nodeOptions: {agent},
        });
        transports.set(address, transport);
      }
      return transport;
    },
    close() {
      peerAgent.close();
      transports.clear();
    },
  };
}
