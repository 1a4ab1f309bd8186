import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Requests and responses of a connection. */
interface ConnectionState {
  pendingCount: number;
  /** A pending response announces the end of the connection. */
  isClosing: boolean;
  /** Bytes that had been received when the last response was sent. */
  answeredBytes: number;
}

/**
 * Connections of callers and the responses that are due on them; callers may
 * pipeline requests. A response is due until all of its bytes have been sent.
 */
export class CallerConnections {
  private readonly states = new Map<Socket, ConnectionState>();

  private constructor(server: Server) {
    server.on('connection', (socket: Socket) => {
      this.states.set(socket, {
        pendingCount: 0,
        isClosing: false,
        answeredBytes: 0,
      });
      socket.once('close', () => this.states.delete(socket));
    });
    // The server's own method closes connections with unsent bytes of a response,
    // also when it is called by `close`.
    server.closeIdleConnections = () => this.closeIdle();
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
    const state = this.states.get(socket);
    if (state === undefined || !socket.writable || state.isClosing)
      return false;
    state.isClosing = isLast();
    state.pendingCount += 1;
    response.once('finish', () => {
      state.pendingCount -= 1;
      if (state.pendingCount > 0) return;
      state.answeredBytes = socket.bytesRead;
      if (isLast()) socket.end();
    });
    return true;
  }

  /**
   * Closes the connections on which no response is due and nothing has been
   * received since the last one. Their callers send the next request elsewhere.
   */
  closeIdle(): void {
    for (const [socket, {pendingCount, answeredBytes}] of this.states) {
      if (pendingCount === 0 && socket.bytesRead === answeredBytes)
        socket.end();
    }
  }

  /**
   * Resets the connections on which a response is due: after a close in order,
   * one that the end of its connection marks would look complete.
   */
  resetPending(): void {
    for (const [socket, {pendingCount}] of this.states)
      if (pendingCount > 0) socket.resetAndDestroy();
  }
}
