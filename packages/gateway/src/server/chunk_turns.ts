/** Body whose chunks are counted. */
export interface CountedBody {
  /** Rejects the body. */
  readonly reject: () => void;
}

/** Chunks of all bodies in one turn of the event loop; a chunk takes about 2 µs. */
const MAX_CHUNKS_A_TURN = 25_000;
/** A body with more chunks in a turn has them from 64 KiB, in chunks of under 64 bytes. */
const MAX_CHUNKS_OF_BODY = 1000;

/**
 * Bounds the time that bodies in very small chunks take. Addresses many callers that
 * send chunks of one byte at once: together they hold up the event loop for seconds.
 * One of them alone stays below the bound and is served.
 */
export class ChunkTurns {
  private readonly counts = new Map<CountedBody, number>();
  private totalCount = 0;

  private constructor() {}

  /**
   * @example
   * ```ts
   * const turns = ChunkTurns.create();
   * message.on('data', () => turns.count(body));
   * ```
   */
  static create(): ChunkTurns {
    return new ChunkTurns();
  }

  /** Counts a chunk; rejects its body if it is among too many small ones of a turn. */
  count(body: CountedBody): void {
    if (this.totalCount === 0) setImmediate(() => this.beginTurn());
    this.totalCount += 1;
    const bodyCount = (this.counts.get(body) ?? 0) + 1;
    this.counts.set(body, bodyCount);
    const isOver = this.totalCount > MAX_CHUNKS_A_TURN;
    if (isOver && bodyCount > MAX_CHUNKS_OF_BODY) body.reject();
  }

  private beginTurn(): void {
    this.totalCount = 0;
    this.counts.clear();
  }
}
