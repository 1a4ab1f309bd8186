/** A call timed out. If it was a write, it may still take effect. */
export class CallTimeoutError extends Error {
  override readonly name = 'CallTimeoutError';

  static create(timeoutMs: number): CallTimeoutError {
    return new CallTimeoutError(`No answer within ${timeoutMs} ms.`);
  }
}

/**
 * Waits for a promise for a limited time. On timeout, the operation behind the
 * promise is not cancelled.
 *
 * @throws CallTimeoutError when the promise is not settled in time.
 *
 * @example
 * ```ts
 * await withTimeout(store.get(key), 2_000);
 * ```
 */
export async function withTimeout<Value>(
  promise: Promise<Value>,
  timeoutMs: number,
): Promise<Value> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<never>((_, reject) => {
    timer = setTimeout(
      () => reject(CallTimeoutError.create(timeoutMs)),
      timeoutMs,
    );
  });
  try {
    return await Promise.race([promise, timeout]);
  } finally {
    clearTimeout(timer);
  }
}

/** Resolves after `ms` milliseconds, or earlier when the signal is aborted. */
export async function pause(ms: number, signal?: AbortSignal): Promise<void> {
  if (signal?.aborted === true) return;
  await new Promise<void>(resolve => {
    const end = (): void => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', end);
      resolve();
    };
    const timer = setTimeout(end, ms);
    signal?.addEventListener('abort', end, {once: true});
  });
}

/**
 * Exponential backoff with jitter: each delay is a random value between half of
 * the current limit and the whole limit.
 */
export class Backoff {
  private failures = 0;

  private constructor(
    private readonly baseMs: number,
    private readonly maxMs: number,
    private readonly random: () => number,
  ) {}

  /**
   * Creates a backoff whose limit starts at `baseMs` and doubles up to `maxMs`.
   *
   * @example
   * ```ts
   * const backoff = Backoff.create(1_000, 8_000, Math.random);
   * ```
   */
  static create(baseMs: number, maxMs: number, random: () => number): Backoff {
    return new Backoff(baseMs, maxMs, random);
  }

  /** Resets the limit after a success. */
  reset(): void {
    this.failures = 0;
  }

  /** Records a failure and returns the delay before the next attempt. */
  recordFailure(): number {
    const limitMs = Math.min(this.maxMs, this.baseMs * 2 ** this.failures);
    this.failures += 1;
    return limitMs / 2 + (this.random() * limitMs) / 2;
  }
}
