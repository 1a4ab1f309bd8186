/** Options of {@link BackgroundRetries}. */
export interface BackgroundRetriesOptions {
  /** Maximum number of pending tasks; further ones are dropped and counted. */
  readonly maxPending?: number;
  readonly firstDelayMs?: number;
  readonly maxDelayMs?: number;
  /** Uniform between 0 and 1; adds jitter to the retries of many hosts. */
  readonly random: () => number;
}

const DEFAULT_MAX_PENDING = 1000;
const DEFAULT_FIRST_DELAY_MS = 200;
const DEFAULT_MAX_DELAY_MS = 30_000;

/**
 * Retries tasks until they succeed, with exponential backoff and jitter, for at
 * most `maxPending` tasks at a time.
 */
export class BackgroundRetries {
  private readonly timers = new Set<NodeJS.Timeout>();
  private pending = 0;
  private dropped = 0;
  private isStopped = false;

  private constructor(
    private readonly options: Required<BackgroundRetriesOptions>,
  ) {}

  static create(options: BackgroundRetriesOptions): BackgroundRetries {
    return new BackgroundRetries({
      maxPending: DEFAULT_MAX_PENDING,
      firstDelayMs: DEFAULT_FIRST_DELAY_MS,
      maxDelayMs: DEFAULT_MAX_DELAY_MS,
      ...options,
    });
  }

  /** Number of tasks that have not succeeded yet. */
  get pendingCount(): number {
    return this.pending;
  }

  /** Number of tasks dropped because of `maxPending` or after `stop`. */
  get droppedCount(): number {
    return this.dropped;
  }

  /** Runs `task` after a delay, and again until it resolves to true. */
  retry(task: () => Promise<boolean>): void {
    if (this.isStopped || this.pending >= this.options.maxPending) {
      this.dropped += 1;
      return;
    }
    this.pending += 1;
    this.schedule(task, this.options.firstDelayMs);
  }

  /** Stops all retries; pending tasks do not run again. */
  stop(): void {
    this.isStopped = true;
    for (const timer of this.timers) clearTimeout(timer);
    this.timers.clear();
  }

  private schedule(task: () => Promise<boolean>, delayMs: number): void {
    const {random, maxDelayMs} = this.options;
    const timer = setTimeout(
      () => {
        this.timers.delete(timer);
        void this.runTask(task, Math.min(2 * delayMs, maxDelayMs));
      },
      delayMs * (0.5 + random() / 2),
    );
    timer.unref();
    this.timers.add(timer);
  }

  private async runTask(
    task: () => Promise<boolean>,
    nextDelayMs: number,
  ): Promise<void> {
    const isDone = await task().catch(() => false);
    if (isDone) this.pending -= 1;
    else if (!this.isStopped) this.schedule(task, nextDelayMs);
  }
}
