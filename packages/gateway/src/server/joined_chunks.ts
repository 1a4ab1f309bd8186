/** Smaller chunks are joined; each one would cost an object of its own. */
const JOINED_CHUNK_BYTES = 4096;
/** Chunks are joined in blocks of this size. */
const BLOCK_BYTES = 16 * 1024;
/** Memory of a Buffer besides its bytes. */
const BUFFER_COST_BYTES = 256;
const EMPTY = Buffer.alloc(0);

interface KeptChunk {
  /** What waits of the chunk. */
  bytes: Buffer;
  /** Memory that is free once nothing of the chunk waits. */
  readonly costBytes: number;
}

/** Bytes that wait, as few Buffers. Small chunks are copied into blocks. */
export class JoinedChunks {
  private chunks: KeptChunk[] = [];
  /** Block to which small chunks are added; it belongs behind all chunks. */
  private block: Buffer | undefined;
  private filledBytes = 0;
  private waitingBytes = 0;
  private keptCostBytes = 0;

  private constructor() {}

  /**
   * @example
   * ```ts
   * const chunks = JoinedChunks.create();
   * chunks.push(Buffer.from('a'));
   * chunks.takeAll().toString(); // 'a'
   * ```
   */
  static create(): JoinedChunks {
    return new JoinedChunks();
  }

  /** Number of bytes that wait. */
  get sizeBytes(): number {
    return this.waitingBytes;
  }

  /** Memory that they take. */
  get costBytes(): number {
    const blockBytes = this.block === undefined ? 0 : BLOCK_BYTES;
    return this.keptCostBytes + blockBytes;
  }

  push(chunk: Buffer): void {
    if (chunk.length === 0) return;
    this.waitingBytes += chunk.length;
    // A body of a single chunk, which most are, is not copied.
    const isFirst = this.chunks.length === 0 && this.block === undefined;
    if (isFirst || chunk.length >= JOINED_CHUNK_BYTES) {
      this.closeBlock();
      this.keep(chunk, chunk.length);
      return;
    }
    if (this.filledBytes + chunk.length > BLOCK_BYTES) this.closeBlock();
    this.block ??= Buffer.allocUnsafeSlow(BLOCK_BYTES);
    this.filledBytes += chunk.copy(this.block, this.filledBytes);
  }

  /** Removes and returns the first bytes, at most `maxBytes`; undefined if none wait. */
  shift(maxBytes: number): Buffer | undefined {
    if (this.chunks.length === 0) this.closeBlock();
    const first = this.chunks.at(0);
    if (first === undefined) return undefined;
    const bytes = first.bytes.subarray(0, maxBytes);
    this.waitingBytes -= bytes.length;
    if (bytes.length < first.bytes.length) {
      first.bytes = first.bytes.subarray(maxBytes);
    } else {
      this.chunks.shift();
      this.keptCostBytes -= first.costBytes;
    }
    return bytes;
  }

  /** Removes and returns all bytes as one Buffer. */
  takeAll(): Buffer {
    this.closeBlock();
    const parts = this.chunks.map(({bytes}) => bytes);
    this.clear();
    if (parts.length === 0) return EMPTY;
    return parts.length === 1 ? parts[0] : Buffer.concat(parts);
  }

  clear(): void {
    this.chunks = [];
    this.block = undefined;
    this.filledBytes = 0;
    this.waitingBytes = 0;
    this.keptCostBytes = 0;
  }

  private keep(bytes: Buffer, ownedBytes: number): void {
    const costBytes = ownedBytes + BUFFER_COST_BYTES;
    this.chunks.push({bytes, costBytes});
    this.keptCostBytes += costBytes;
  }

  /** Moves the filled part of the block to the chunks. */
  private closeBlock(): void {
    if (this.block === undefined) return;
    this.keep(this.block.subarray(0, this.filledBytes), BLOCK_BYTES);
    this.block = undefined;
    this.filledBytes = 0;
  }
}
