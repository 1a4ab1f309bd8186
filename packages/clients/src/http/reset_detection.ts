import type {Socket} from 'node:net';

/**
 * Returns true if the peer has reset a connection whose end was received. The
 * runtime reports a reset that arrives behind unread bytes as an end in order; a
 * write of no bytes sends nothing and fails only after a reset.
 *
 * @param socket must allow its writable half to stay open behind the end.
 * @example
 * ```ts
 * socket.on('end', () => wasReset(socket));
 * ```
 */
export function wasReset(socket: Socket): boolean {
  if (socket.destroyed) return true;
  socket.write('');
  return socket.errored !== null;
}
