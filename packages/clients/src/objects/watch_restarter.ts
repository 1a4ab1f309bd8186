/**
 * Restarts a watch: aborts the pending watch call and lists the objects again.
 * This is needed when the connection has stopped delivering changes without an
 * error.
 */
export class WatchRestarter {
  private callController: AbortController | undefined;
  private isRestartRequested = false;
  private callStartMs = 0;

  private constructor() {}

  /**
   * @example
   * ```ts
   * const restarter = WatchRestarter.create();
   * void watchObjects(store, 'rules/', handlers, {...options, restarter});
   * restarter.restart();
   * ```
   */
  static create(): WatchRestarter {
    return new WatchRestarter();
  }

  /** Time for which a watch call has been pending; undefined if none is. */
  get pendingMs(): number | undefined {
    if (this.callController === undefined) return undefined;
    return performance.now() - this.callStartMs;
  }

  /** Restarts the watch; does nothing while no watch call is pending. */
  restart(): void {
    if (this.callController === undefined) return;
    this.isRestartRequested = true;
    this.callController.abort();
  }

  /** Makes a call that {@link restart} can abort. */
  async run<T>(
    signal: AbortSignal,
    call: (signal: AbortSignal) => Promise<T>,
  ): Promise<T> {
    const controller = new AbortController();
    const abort = (): void => controller.abort();
    signal.addEventListener('abort', abort, {once: true});
    this.callController = controller;
    this.callStartMs = performance.now();
    try {
      return await call(controller.signal);
    } finally {
      this.callController = undefined;
      signal.removeEventListener('abort', abort);
    }
  }

  /** Returns whether a restart was requested, and clears the request. */
  takeRestartRequest(): boolean {
    const {isRestartRequested} = this;
    this.isRestartRequested = false;
    return isRestartRequested;
  }
}
