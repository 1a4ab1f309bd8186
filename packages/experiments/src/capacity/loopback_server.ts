import type {Routes} from '@anvilrudder/entry/control';
import {TrafficCounter, type Traffic} from '@anvilrudder/peers';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {once} from 'node:events';
import {createServer, type RequestListener} from 'node:http';
import type {AddressInfo} from 'node:net';

/** A loopback server that counts the traffic of its connections. */
export interface LoopbackServer {
  /** `ip:port`. */
  readonly address: string;
  /** Returns the bytes sent and received on all connections. */
  readTraffic(): Traffic;
  stop(): void;
}

/** Starts a traffic-counting server on a free loopback port. */
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

/** Starts a traffic-counting server for RPC routes. */
export async function startRpcServer(routes: Routes): Promise<LoopbackServer> {
  return startLoopbackServer(connectNodeAdapter({routes}));
}
