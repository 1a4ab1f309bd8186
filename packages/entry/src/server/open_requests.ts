/**
 * Tracks the requests in progress on one entry; a planned stop waits until
 * there are none.
 *
 * @example
 * ```ts
 * const open = OpenRequests.create();
 * const close = open.add('r-1');
 * close();
 * await open.waitUntilEmpty();
 * ```
 */
export class OpenRequests {
  private readonly ids = new Map<symbol, string>();
  private waiters: Array<() => void> = [];

  private constructor() {}

  static create(): OpenRequests {
    return new OpenRequests();
  }

  get count(): number {
    return this.ids.size;
  }

  /** Adds a request; the returned function must be called when it ends. */
  add(requestId: string): () => void {
    const handle = Symbol(requestId);
    this.ids.set(handle, requestId);
    return () => {
      this.ids.delete(handle);
      if (this.ids.size === 0) this.notifyEmpty();
    };
  }

  /** Resolves when no request is open. */
  async waitUntilEmpty(): Promise<void> {
    if (this.ids.size === 0) return;
    await new Promise<void>(resolve => this.waiters.push(resolve));
  }

  private notifyEmpty(): void {
    const waiters = this.waiters;
    this.waiters = [];
    for (const resolve of waiters) resolve();
  }
}
