import type {Socket} from 'node:net';

/** Bytes on the wire, HTTP headers included, and calls. */
export interface Traffic {
  readonly calls: number;
  readonly bytesSent: number;
  readonly bytesReceived: number;
}

/** Counts the bytes of connections and the calls made over them. */
export class TrafficCounter {
  private calls = 0;
  private closedSent = 0;
  private closedReceived = 0;
  private readonly sockets = new Set<Socket>();

  private constructor() {}

  /**
   * Creates a counter at zero.
   *
   * @example
   * ```ts
   * server.on('connection', socket => counter.track(socket));
   * ```
   */
  static create(): TrafficCounter {
    return new TrafficCounter();
  }

  /** Counts the bytes of a connection from now until it closes. */
  track(socket: Socket): void {
    this.sockets.add(socket);
    socket.once('close', () => {
      this.sockets.delete(socket);
      this.closedSent += socket.bytesWritten;
      this.closedReceived += socket.bytesRead;
    });
  }

  /** Counts one call. */
  countCall(): void {
    this.calls += 1;
  }

  /** Reads the totals so far. */
  read(): Traffic {
    let bytesSent = this.closedSent;
    let bytesReceived = this.closedReceived;
    for (const socket of this.sockets) {
      bytesSent += socket.bytesWritten;
      bytesReceived += socket.bytesRead;
    }
    return {calls: this.calls, bytesSent, bytesReceived};
  }
}
