import type {RequestListener, Server} from 'node:http';
import type {Logger} from '@anvilrudder/observability';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import type {ConnectRouter} from '@connectrpc/connect';
import {listen} from '../../server/listen.js';
import {
  createServer,
  requirePeerCertificate,
  resolvePeerServerTls,
  type TlsSource,
} from '../../tls/index.js';
import {MAX_CONTROL_REQUEST_BYTES} from '../operators/index.js';

/** Registers services on a router. */
export type Routes = (router: ConnectRouter) => void;

/** Options of {@link startPeerServer}. */
export interface PeerServerOptions {
  readonly address: string;
  readonly port: number;
  readonly logger: Logger;
  /** Certificate of this host; the server uses plain HTTP without it. */
  readonly tls?: TlsSource | undefined;
}

/** A running server for other entries and operators. */
export interface PeerServer {
  /** `ip:port` on which the server listens. */
  readonly address: string;
  readonly server: Server;
  /** Replaces the services; before the first call, requests get status 503. */
  mount(routes: readonly Routes[]): void;
  /** Closes the server and all its connections. */
  stop(): void;
}

const REFUSE_ALL: RequestListener = (request, response) => {
  response.writeHead(503).end();
};

/**
 * Starts the server without services. They are mounted later, since some of
 * them announce the server's address to peers. Over TLS, all calls except those
 * of operators need a client certificate of the deployment.
 *
 * @example
 * ```ts
 * const peers = await startPeerServer({address, port: 9080, logger});
 * peers.mount([rulesManager.routes]);
 * ```
 */
export async function startPeerServer(
  options: PeerServerOptions,
): Promise<PeerServer> {
  const {logger, tls} = options;
  let handle = REFUSE_ALL;
  const listener: RequestListener = (request, response) =>
    handle(request, response);
  const server =
    tls === undefined
      ? createServer({}, listener)
      : createServer({}, requirePeerCertificate(listener, logger), {
          source: tls,
          resolve: resolvePeerServerTls,
        });
  const address = await listen(server, options);
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
