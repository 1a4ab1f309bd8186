import type {ServerResponse} from 'node:http';
import type {MemoryBudget, MemoryHold} from '@anvilrudder/core';
import {JoinedChunks} from '../server/joined_chunks.js';

/** Written at once; the progress of a caller is seen once it has taken all of it. */
const MAX_WRITE_BYTES = 16 * 1024;
/**
 * Up to this size, and this part of the budget, a response is read on for one slow
 * caller. As large as a document may be; a flood is not read without end.
 */
const MAX_UNREAD_BYTES = 8 * 1024 * 1024;
const MAX_BUDGET_SHARE = 1 / 4;

/**
 * Writes a response as fast as its caller reads, and keeps the rest in the memory of
 * the host. Addresses callers that read slowly: their servers can send all of a
 * response meanwhile, and would otherwise cut off one that stays unread. Over the
 * memory of the host, the slowest caller is cut off.
 */
export class CallerWriter {
  private readonly chunks = JoinedChunks.create();
  private hold: MemoryHold | undefined;
  private isWaiting = false;
  private onAllWritten: (() => void) | undefined;

  private constructor(
    private readonly response: ServerResponse,
    private readonly memory: MemoryBudget,
  ) {}

  /**
   * @example
   * ```ts
   * const writer = CallerWriter.create(response, memory);
   * writer.write(Buffer.from('a'));
   * writer.finish(() => response.end());
   * ```
   */
  static create(response: ServerResponse, memory: MemoryBudget): CallerWriter {
    return new CallerWriter(response, memory);
  }

  /** True while no more of the response should be read from its server. */
  get isFull(): boolean {
    const maxBytes = Math.min(
      MAX_UNREAD_BYTES,
      MAX_BUDGET_SHARE * this.memory.maxBytes,
    );
    return this.chunks.costBytes > maxBytes && !this.response.destroyed;
  }

  write(bytes: Buffer): void {
    if (this.response.destroyed) return;
    this.chunks.push(bytes);
    this.writeOn();
  }

  /** Calls a function once all is written; never if the caller has left by then. */
  finish(onAllWritten: () => void): void {
    this.onAllWritten = onAllWritten;
    this.writeOn();
  }

  /** Writes all at once, for a response that breaks off. */
  flush(): void {
    const rest = this.chunks.takeAll();
    if (rest.length > 0 && !this.response.destroyed) this.response.write(rest);
    this.count();
  }

  private writeOn(): void {
    const {response, chunks} = this;
    while (!this.isWaiting && chunks.sizeBytes > 0) {
      const bytes = chunks.shift(MAX_WRITE_BYTES);
      if (bytes === undefined || response.write(bytes)) continue;
      this.isWaiting = true;
      response.once('drain', () => {
        this.isWaiting = false;
        this.hold?.markProgress();
        this.writeOn();
      });
    }
    this.count();
    if (chunks.sizeBytes === 0) this.endIfWritten();
  }

  private endIfWritten(): void {
    const {onAllWritten} = this;
    this.onAllWritten = undefined;
    onAllWritten?.();
  }

  /** Counts what the caller has not read; a fast caller costs no hold. */
  private count(): void {
    const {response, chunks} = this;
    const isUnread = chunks.sizeBytes > 0 || this.isWaiting;
    if (this.hold === undefined && !isUnread) return;
    this.hold ??= this.openHold();
    this.hold.resize(isUnread ? chunks.costBytes + response.writableLength : 0);
  }

  private openHold(): MemoryHold {
    const hold = this.memory.open('unread', () => {
      this.chunks.clear();
      this.response.socket?.resetAndDestroy();
    });
    this.response.once('close', () => {
      this.chunks.clear();
      hold.close();
    });
    return hold;
  }
}
