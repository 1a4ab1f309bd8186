/** Stops a request; called when the drain ends. */
export type StopRequest = () => void;

/** Whether this host drains, until when, and the requests in progress. */
export class HostDrain {
  private endMs = Infinity;
  private readonly stopRequests = new Set<StopRequest>();

  private constructor() {}

  /**
   * @example
   * ```ts
   * const drain = HostDrain.create();
   * drain.begin(7400);
   * drain.leftMs; // 7400
   * ```
   */
  static create(): HostDrain {
    return new HostDrain();
  }

  /** True once a graceful shutdown has begun. */
  get isDraining(): boolean {
    return this.endMs !== Infinity;
  }

  /** Time until requests in progress are stopped; Infinity without a drain. */
  get leftMs(): number {
    return this.endMs - performance.now();
  }

  /** Begins the drain; it ends after `durationMs` milliseconds. */
  begin(durationMs: number): void {
    this.endMs = Math.min(this.endMs, performance.now() + durationMs);
  }

  /**
   * Registers a request in progress.
   *
   * @returns a function to be called when the request has ended.
   */
  track(stopRequest: StopRequest): () => void {
    this.stopRequests.add(stopRequest);
    return () => this.stopRequests.delete(stopRequest);
  }

  /** Stops the requests in progress, so that their callers get an answer. */
  stopAll(): void {
    for (const stopRequest of this.stopRequests) stopRequest();
  }
}
