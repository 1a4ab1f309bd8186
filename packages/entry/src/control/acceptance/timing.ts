/** A call gave no answer in its time; a write may still take effect. */
export class CallTimeoutError extends Error {
  override readonly name = 'CallTimeoutError';

  static create(timeoutMs: number): CallTimeoutError {
    return new CallTimeoutError(`No answer within ${timeoutMs} ms.`);
  }
}

/**
 * Bounds the wait for a promise; the work behind it is not cancelled.
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

/** Waits until the time passed or the signal is aborted. */
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

/** Delays of a call that fails again and again, with full jitter. */
export class Backoff {
  private failures = 0;

  private constructor(
    private readonly baseMs: number,
    private readonly maxMs: number,
    private readonly random: () => number,
  ) {}

  /**
   * Creates a backoff that starts at `baseMs` and doubles up to `maxMs`.
   *
   * @example
   * ```ts
   * const backoff = Backoff.create(1_000, 8_000, Math.random);
   * ```
   */
  static create(baseMs: number, maxMs: number, random: () => number): Backoff {
    return new Backoff(baseMs, maxMs, random);
  }

  /** Forgets earlier failures. */
  reset(): void {
    this.failures = 0;
  }

  /** Records a failure and returns how long to wait. */
  recordFailure(): number {
    const limitMs = Math.min(this.maxMs, this.baseMs * 2 ** this.failures);
    this.failures += 1;
    return limitMs / 2 + (this.random() * limitMs) / 2;
  }
}
