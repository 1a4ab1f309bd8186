import type {MemoryHold} from '@anvilrudder/core';

interface Waiter {
  readonly hold: MemoryHold;
  readonly bytes: number;
  readonly settle: (isGranted: boolean) => void;
}

/** Holders that stand still are found by time, not by an event. */
const RETRY_INTERVAL_MS = 50;

/**
 * Responses that wait for memory, the first one first. Addresses bursts of large
 * responses: each gets its memory as a whole, so that parts of responses that all
 * wait for their rest do not fill the budget.
 */
export class MemoryQueue {
  private readonly waiters: Waiter[] = [];
  private timer: NodeJS.Timeout | undefined;

  private constructor() {}

  /**
   * @example
   * ```ts
   * const queue = MemoryQueue.create();
   * const isGranted = await queue.acquire(hold, 1024, AbortSignal.timeout(1000));
   * ```
   */
  static create(): MemoryQueue {
    return new MemoryQueue();
  }

  /** Waits until the hold has so many bytes; resolves to false if aborted before. */
  acquire(
    hold: MemoryHold,
    bytes: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    if (this.waiters.length === 0 && hold.tryResize(bytes))
      return Promise.resolve(true);
    if (signal.aborted) return Promise.resolve(false);
    return new Promise(resolve => {
      const settle = (isGranted: boolean): void => {
        signal.removeEventListener('abort', onAbort);
        this.waiters.splice(this.waiters.indexOf(waiter), 1);
        resolve(isGranted);
      };
      const waiter = {hold, bytes, settle};
      const onAbort = (): void => settle(false);
      signal.addEventListener('abort', onAbort);
      this.waiters.push(waiter);
      this.timer ??= setInterval(() => this.grant(), RETRY_INTERVAL_MS);
    });
  }

  private grant(): void {
    for (;;) {
      const first = this.waiters.at(0);
      if (first === undefined) {
        clearInterval(this.timer);
        this.timer = undefined;
        return;
      }
      if (!first.hold.tryResize(first.bytes)) return;
      first.settle(true);
    }
  }
}
