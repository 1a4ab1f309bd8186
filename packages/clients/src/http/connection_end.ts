import type {Socket} from 'node:net';

/**
 * How a peer has ended a connection. `unproven`: nothing shows whether it was reset.
 */
export type ConnectionEnd = 'inOrder' | 'reset' | 'unproven';

/**
 * Tells how a connection has ended whose end was received. The runtime reports a
 * reset behind unread bytes as an end in order; a write of no bytes sends nothing
 * and fails only after a reset.
 *
 * @param socket must allow its writable half to stay open behind the end.
 * @example
 * ```ts
 * socket.on('end', () => inspectEnd(socket)); // 'inOrder'
 * ```
 */
export function inspectEnd(socket: Socket): ConnectionEnd {
  if (socket.destroyed) return 'reset';
  // Behind other bytes a write waits and shows nothing.
  if (socket.writableLength > 0) return 'unproven';
  socket.write('');
  return socket.errored === null ? 'inOrder' : 'reset';
}
