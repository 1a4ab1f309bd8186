import {createServer, type RequestListener, type Server} from 'node:http';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import type {ConnectRouter} from '@connectrpc/connect';
import {listen} from '../../server/listen.js';
import {MAX_CONTROL_REQUEST_BYTES} from '../operators/index.js';

/** Registers services on a router. */
export type Routes = (router: ConnectRouter) => void;

/** The server for other entries and operators. */
export interface PeerServer {
  /** `ip:port` in use. */
  readonly address: string;
  readonly server: Server;
  /** Sets the services; until then every call is refused as unavailable. */
  mount(routes: readonly Routes[]): void;
  stop(): void;
}

const NOT_MOUNTED: RequestListener = (request, response) => {
  response.writeHead(503).end();
};

/**
 * Starts the server, so that its address is known before the services that
 * tell it to others are created.
 *
 * @example
 * ```ts
 * const peers = await startPeerServer({address: '127.0.0.1', port: 0});
 * peers.mount([keeper.routes]);
 * ```
 */
export async function startPeerServer(where: {
  readonly address: string;
  readonly port: number;
}): Promise<PeerServer> {
  let handle = NOT_MOUNTED;
  const server = createServer((request, response) => handle(request, response));
  const address = await listen(server, where);
  return {
    address,
    server,
    mount(routes) {
      handle = connectNodeAdapter({
        routes: router => {
          for (const register of routes) register(router);
        },
        readMaxBytes: MAX_CONTROL_REQUEST_BYTES,
      });
    },
    stop() {
      server.close();
      server.closeAllConnections();
    },
  };
}
