import {once} from 'node:events';
import type {Server} from 'node:http';
import {isDeepStrictEqual} from 'node:util';
import type {GatewaySettings, ListenAddress} from '../config/settings.js';

/** Resolves once a server accepts connections. */
export async function listen(
  server: Server,
  listenAddress: ListenAddress,
): Promise<void> {
  server.listen(listenAddress.port, listenAddress.address);
  await once(server, 'listening');
}

/** Formats an address as `ip:port`. */
export function formatAddress({address, port}: ListenAddress): string {
  return `${address}:${port}`;
}

/** True if the settings differ in a part that is read at the start alone. */
export function needsRestart(a: GatewaySettings, b: GatewaySettings): boolean {
  return (
    a.storeAddress !== b.storeAddress ||
    !isDeepStrictEqual(a.listen, b.listen) ||
    !isDeepStrictEqual(a.scheduling, b.scheduling) ||
    !isDeepStrictEqual(a.evacuations, b.evacuations) ||
    (a.regions === undefined) !== (b.regions === undefined)
  );
}
