import type {Socket} from 'node:net';

/** Number of calls, and of bytes on the wire including HTTP headers. */
export interface Traffic {
  readonly calls: number;
  readonly bytesSent: number;
  readonly bytesReceived: number;
}

/** Counts the bytes sent and received by connections, and the calls. */
export class TrafficCounter {
  private calls = 0;
  private closedBytesSent = 0;
  private closedBytesReceived = 0;
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

  /**
   * Includes the bytes of a connection in the totals, even once it is closed.
   */
  track(socket: Socket): void {
    this.sockets.add(socket);
    socket.once('close', () => {
      this.sockets.delete(socket);
      this.closedBytesSent += socket.bytesWritten;
      this.closedBytesReceived += socket.bytesRead;
    });
  }

  /** Counts one call. */
  countCall(): void {
    this.calls += 1;
  }

  /** Returns the current totals. */
  read(): Traffic {
    let bytesSent = this.closedBytesSent;
    let bytesReceived = this.closedBytesReceived;
    for (const socket of this.sockets) {
      bytesSent += socket.bytesWritten;
      bytesReceived += socket.bytesRead;
    }
    return {calls: this.calls, bytesSent, bytesReceived};
  }
}
