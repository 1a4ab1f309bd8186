import {once} from 'node:events';
import type {Server} from 'node:net';
import type {AddressInfo} from 'node:net';

/**
 * Makes a server listen on an address and port; port 0 picks a free one.
 *
 * @returns The `ip:port` in use.
 * @throws Error when the port is in use or the address does not belong to this
 *     host.
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
