import type {Routes} from '@anvilrudder/entry/control';
import {TrafficCounter, type Traffic} from '@anvilrudder/peers';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {once} from 'node:events';
import {createServer, type RequestListener} from 'node:http';
import type {AddressInfo} from 'node:net';

/** A server on loopback whose connections are counted. */
export interface LoopbackServer {
  /** `ip:port`. */
  readonly address: string;
  /** Bytes of all connections to it. */
  readTraffic(): Traffic;
  stop(): void;
}

/** Starts a counted server on a free port of loopback. */
export async function startLoopbackServer(
  handle: RequestListener,
): Promise<LoopbackServer> {
  const traffic = TrafficCounter.create();
  const server = createServer(handle);
  server.on('connection', socket => traffic.track(socket));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    readTraffic: () => traffic.read(),
    stop() {
      server.close();
      server.closeAllConnections();
    },
  };
}

/** Starts a counted server of RPC services. */
export async function startRpcServer(routes: Routes): Promise<LoopbackServer> {
  return startLoopbackServer(connectNodeAdapter({routes}));
}
