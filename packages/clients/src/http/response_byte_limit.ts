import type {Socket} from 'node:net';

/** Limits of one response. */
export interface ResponseLimits {
  /** Size of a response without the body bytes that are reported. */
  readonly maxBytes: number;
  /**
   * Lines of a head that is reported once it is complete; unlimited if undefined. A
   * line costs memory and time of its own, however short it is.
   */
  readonly maxHeadLines?: number;
}

const LINE_FEED = 0x0a;
const HEAD_END = '\r\n\r\n';

/**
 * Closes a connection on which a server sends too much besides the body of a
 * response, such as a status line or a chunk extension without end. The parser
 * neither stores nor limits these. It serves one request at a time.
 */
export class ResponseByteLimit {
  private receivedBytes = 0;
  private bodyBytes = 0;
  private headLines = 0;
  private isHeadOpen = true;

  private constructor(private readonly limits: ResponseLimits) {}

  /**
   * Limits the responses on a socket.
   *
   * @example
   * ```ts
   * const limit = ResponseByteLimit.watch(socket, {maxBytes: 262_144});
   * limit.countBody(chunk.length);
   * ```
   */
  static watch(socket: Socket, limits: ResponseLimits): ResponseByteLimit {
    const limit = new ResponseByteLimit(limits);
    // The HTTP client takes all bytes with read(), and writes only requests.
    const read = socket.read.bind(socket);
    const write = socket.write.bind(socket) as typeof socket.write;
    socket.read = (sizeBytes?: number): unknown => {
      const chunk: unknown = read(sizeBytes);
      if (!Buffer.isBuffer(chunk)) return chunk;
      limit.count(chunk);
      if (!limit.isExceeded) return chunk;
      socket.destroy(new Error('the response exceeds its limit'));
      return null;
    };
    socket.write = ((...args: Parameters<typeof socket.write>) => {
      limit.reset();
      return write(...args);
    }) as typeof socket.write;
    return limit;
  }

  /** Records that the head of a response is complete. */
  markHead(): void {
    this.isHeadOpen = false;
  }

  /** Records bytes of a body, which do not count. */
  countBody(bytes: number): void {
    this.bodyBytes += bytes;
  }

  private get isExceeded(): boolean {
    const {maxBytes, maxHeadLines = Infinity} = this.limits;
    return (
      this.receivedBytes - this.bodyBytes > maxBytes ||
      this.headLines > maxHeadLines
    );
  }

  private count(chunk: Buffer): void {
    this.receivedBytes += chunk.length;
    if (this.isHeadOpen && this.limits.maxHeadLines !== undefined)
      this.headLines += countHeadLines(chunk);
  }

  private reset(): void {
    this.receivedBytes = 0;
    this.bodyBytes = 0;
    this.headLines = 0;
    this.isHeadOpen = true;
  }
}

/** Counts the lines of a chunk up to the end of a head in it. */
function countHeadLines(chunk: Buffer): number {
  const headEnd = chunk.indexOf(HEAD_END);
  const head = headEnd < 0 ? chunk : chunk.subarray(0, headEnd);
  let lines = 0;
  let index = head.indexOf(LINE_FEED);
  while (index >= 0) {
    lines += 1;
    index = head.indexOf(LINE_FEED, index + 1);
  }
  return lines;
}
