import type {Socket} from 'node:net';

/**
 * Closes a connection on which a server sends too many bytes besides the body of
 * a response, such as a status line or a chunk extension without end. The parser
 * neither stores nor limits these. It serves one request at a time.
 */
export class ResponseByteLimit {
  private receivedBytes = 0;
  private bodyBytes = 0;

  private constructor(private readonly maxBytes: number) {}

  /**
   * Limits the responses on a socket.
   *
   * @param maxBytes maximum size of a response without the body bytes reported
   *     to {@link countBody}.
   * @example
   * ```ts
   * const limit = ResponseByteLimit.watch(socket, 262_144);
   * limit.countBody(chunk.length);
   * ```
   */
  static watch(socket: Socket, maxBytes: number): ResponseByteLimit {
    const limit = new ResponseByteLimit(maxBytes);
    // The HTTP client takes all bytes with read(), and writes only requests.
    const read = socket.read.bind(socket);
    const write = socket.write.bind(socket) as typeof socket.write;
    socket.read = (sizeBytes?: number): unknown => {
      const chunk: unknown = read(sizeBytes);
      if (Buffer.isBuffer(chunk)) limit.count(socket, chunk.length);
      return chunk;
    };
    socket.write = ((...args: Parameters<typeof socket.write>) => {
      limit.reset();
      return write(...args);
    }) as typeof socket.write;
    return limit;
  }

  /** Records bytes of a body, which do not count. */
  countBody(bytes: number): void {
    this.bodyBytes += bytes;
  }

  private count(socket: Socket, bytes: number): void {
    // The bytes read before have been parsed by now.
    const isExceeded = this.receivedBytes - this.bodyBytes > this.maxBytes;
    this.receivedBytes += bytes;
    if (!isExceeded) return;
    socket.destroy(new Error('the response exceeds its limit'));
  }

  private reset(): void {
    this.receivedBytes = 0;
    this.bodyBytes = 0;
  }
}
