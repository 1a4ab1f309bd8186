import {once} from 'node:events';
import type {Server} from 'node:net';
import type {AddressInfo} from 'node:net';

/**
 * Listens on an address.
 *
 * @returns The `ip:port` in use.
 * @throws Error when the address is taken or not of this host.
 * @example
 * ```ts
 * const address = await listen(server, {address: '127.0.0.1', port: 0});
 * ```
 */
export async function listen(
  server: Server,
  endpoint: {readonly address: string; readonly port: number},
): Promise<string> {
  server.listen(endpoint.port, endpoint.address);
  await once(server, 'listening');
  const {address, port} = server.address() as AddressInfo;
  return `${address}:${port}`;
}
