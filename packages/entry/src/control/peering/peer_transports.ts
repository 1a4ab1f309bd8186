import type {Transport} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {Agent} from 'node:http';

/** Options of {@link createPeerTransports}. */
export interface PeerTransportsOptions {
  /** Bound of one call. */
  readonly timeoutMs: number;
}

/** Transports to other entries by address, over connections kept open. */
export interface PeerTransports {
  resolve(address: string): Transport;
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
  const agent = new Agent({keepAlive: true});
  const transports = new Map<string, Transport>();
  return {
    resolve(address) {
      let transport = transports.get(address);
      if (transport === undefined) {
        transport = createConnectTransport({
          httpVersion: '1.1',
          baseUrl: `http://${address}`,
          defaultTimeoutMs: options.timeoutMs,
          nodeOptions: {agent},
        });
        transports.set(address, transport);
      }
      return transport;
    },
    close() {
      agent.destroy();
      transports.clear();
    },
  };
}
