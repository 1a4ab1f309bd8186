import {connect} from 'node:net';

/**
 * Tries whether a connection to an address can be made, and closes it.
 *
 * @param address `ip:port`.
 * @param timeoutMs time after which the address counts as unreachable.
 * @example
 * ```ts
 * if (await probeConnection('10.0.0.1:80', 300)) console.log('reachable');
 * ```
 */
export function probeConnection(
  address: string,
  timeoutMs: number,
): Promise<boolean> {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const socket = connect({host, port: Number(port)});
    const finish = (isReachable: boolean): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(isReachable);
    };
    const timer = setTimeout(() => finish(false), timeoutMs);
    socket.once('connect', () => finish(true));
    socket.once('error', () => finish(false));
  });
}
