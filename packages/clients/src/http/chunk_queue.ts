/** Flow control of the source that fills a queue. */
export interface ChunkSource {
  pause(): void;
  resume(): void;
  /** Called when the consumer stops reading before the end. */
  cancel(): void;
}

interface PendingRead {
  resolve(result: IteratorResult<Buffer, undefined>): void;
  reject(error: unknown): void;
}

const HIGH_WATER_BYTES = 64 * 1024;
/** Smaller chunks are joined; each one costs an object of its own. */
const JOINED_CHUNK_BYTES = 4096;
const DONE: IteratorResult<Buffer, undefined> = {done: true, value: undefined};

/**
 * The body chunks of one response as an iterator for a single consumer. Pauses
 * the source while 64 KiB or more are buffered, until the buffer is empty.
 */
export class ChunkQueue implements AsyncIterableIterator<Buffer> {
  private chunks: Buffer[] = [];
  /** Holds the last chunk of {@link chunks}, if it is joined of small ones. */
  private joined: Buffer | undefined;
  private sizeBytes = 0;
  private pendingRead: PendingRead | undefined;
  private end: {readonly error: unknown} | undefined;
  private isPaused = false;

  private constructor(private readonly source: ChunkSource) {}

  static create(source: ChunkSource): ChunkQueue {
    return new ChunkQueue(source);
  }

  push(chunk: Buffer): void {
    if (this.pendingRead !== undefined) {
      this.takePendingRead()?.resolve({done: false, value: chunk});
      return;
    }
    this.keep(chunk);
    this.sizeBytes += chunk.length;
    if (this.sizeBytes < HIGH_WATER_BYTES || this.isPaused) return;
    this.isPaused = true;
    this.source.pause();
  }

  /**
   * Ends the queue after the buffered chunks, with an error if one is given.
   * Only the first call has an effect.
   */
  finish(error?: unknown): void {
    if (this.end !== undefined) return;
    this.end = {error};
    const pendingRead = this.takePendingRead();
    if (error === undefined) pendingRead?.resolve(DONE);
    else pendingRead?.reject(error);
  }

  [Symbol.asyncIterator](): this {
    return this;
  }

  next(): Promise<IteratorResult<Buffer, undefined>> {
    const chunk = this.chunks.shift();
    if (this.chunks.length === 0) this.joined = undefined;
    if (chunk !== undefined) {
      this.release(chunk);
      return Promise.resolve({done: false, value: chunk});
    }
    if (this.end !== undefined) return this.takeEnd();
    return new Promise((resolve, reject) => {
      this.pendingRead = {resolve, reject};
    });
  }

  return(): Promise<IteratorResult<Buffer, undefined>> {
    this.chunks = [];
    this.joined = undefined;
    if (this.end === undefined) {
      this.finish();
      this.source.cancel();
    }
    return Promise.resolve(DONE);
  }

  private keep(chunk: Buffer): void {
    const last = this.chunks.at(-1);
    if (chunk.length >= JOINED_CHUNK_BYTES) {
      this.joined = undefined;
      this.chunks.push(chunk);
      return;
    }
    const usedBytes = this.joined === undefined ? 0 : (last?.length ?? 0);
    const totalBytes = usedBytes + chunk.length;
    if (this.joined === undefined || totalBytes > this.joined.length) {
      this.joined = Buffer.allocUnsafeSlow(JOINED_CHUNK_BYTES);
      chunk.copy(this.joined);
      this.chunks.push(this.joined.subarray(0, chunk.length));
      return;
    }
    chunk.copy(this.joined, usedBytes);
    this.chunks[this.chunks.length - 1] = this.joined.subarray(0, totalBytes);
  }

  private release(chunk: Buffer): void {
    this.sizeBytes -= chunk.length;
    if (!this.isPaused || this.chunks.length > 0) return;
    this.isPaused = false;
    this.source.resume();
  }

  private takeEnd(): Promise<IteratorResult<Buffer, undefined>> {
    const error = this.end?.error;
    this.end = {error: undefined};
    return error === undefined ? Promise.resolve(DONE) : Promise.reject(error);
  }

  private takePendingRead(): PendingRead | undefined {
    const {pendingRead} = this;
    this.pendingRead = undefined;
    return pendingRead;
  }
}
