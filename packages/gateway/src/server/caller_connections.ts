import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Responses that are due on a connection. */
interface ConnectionState {
  pendingCount: number;
  /** A pending response announces the end of the connection. */
  isClosing: boolean;
}

/**
 * Connections of callers: those that have carried no request so far, and the
 * responses that are due on the others, where callers may pipeline requests.
 */
export class CallerConnections {
  private readonly unused = new Set<Socket>();
  private readonly pending = new Set<Socket>();
  private readonly states = new WeakMap<Socket, ConnectionState>();

  private constructor(server: Server) {
    server.on('connection', (socket: Socket) => {
      this.unused.add(socket);
      socket.once('close', () => {
        this.unused.delete(socket);
        this.pending.delete(socket);
      });
    });
  }

  /** Watches the connections of a server. */
  static create(server: Server): CallerConnections {
    return new CallerConnections(server);
  }

  /**
   * Registers a request.
   *
   * @param isLast the connection is to be closed after the response.
   * @returns false if the connection ends before a response could be sent, so
   *     that the request must not be processed.
   */
  open(
    {socket}: IncomingMessage,
    response: ServerResponse,
    isLast: () => boolean,
  ): boolean {
    this.unused.delete(socket);
    const state = this.readState(socket);
    if (!socket.writable || state.isClosing) return false;
    state.isClosing = isLast();
    state.pendingCount += 1;
    this.pending.add(socket);
    response.once('finish', () => {
      state.pendingCount -= 1;
      if (state.pendingCount > 0) return;
      this.pending.delete(socket);
      if (isLast()) socket.end();
    });
    return true;
  }

  /**
   * Closes the connections on which nothing was received. Their callers send
   * the first request elsewhere.
   */
  closeUnused(): void {
    for (const socket of this.unused) {
      if (socket.bytesRead === 0) socket.end();
    }
  }

  /**
   * Resets the connections on which a response is not complete: after a close in
   * order, one that the end of its connection marks would look complete.
   */
  resetPending(): void {
    for (const socket of this.pending) socket.resetAndDestroy();
  }

  private readState(socket: Socket): ConnectionState {
    const known = this.states.get(socket);
    if (known !== undefined) return known;
    const state = {pendingCount: 0, isClosing: false};
    this.states.set(socket, state);
    return state;
  }
}
