/** Options of {@link TokenBucket}. */
export interface TokenBucketOptions {
  readonly ratePerS: number;
  /** Capacity of the bucket and its initial number of tokens. */
  readonly burst: number;
}

const MS_PER_S = 1000;

/** A token bucket in which tokens can be reserved before they are available. */
export class TokenBucket {
  private tokens: number;
  private refilledAtMs: number;

  private constructor(
    private readonly options: TokenBucketOptions,
    nowMs: number,
  ) {
    this.tokens = options.burst;
    this.refilledAtMs = nowMs;
  }

  /**
   * @example
   * ```ts
   * const bucket = TokenBucket.create({ratePerS: 10, burst: 1}, 0);
   * bucket.reserve(0, 500); // 0
   * bucket.reserve(0, 500); // 100
   * ```
   */
  static create(options: TokenBucketOptions, nowMs: number): TokenBucket {
    return new TokenBucket(options, nowMs);
  }

  /**
   * Reserves one token and returns the time in milliseconds to wait before
   * using it. Reserves none and returns undefined if the wait would exceed
   * `maxWaitMs`.
   */
  reserve(nowMs: number, maxWaitMs: number): number | undefined {
    this.refill(nowMs);
    const deficit = Math.max(0, 1 - this.tokens);
    const waitMs = (deficit / this.options.ratePerS) * MS_PER_S;
    if (waitMs > maxWaitMs) return undefined;
    this.tokens -= 1;
    return waitMs;
  }

  private refill(nowMs: number): void {
    const {ratePerS, burst} = this.options;
    const elapsedS = (nowMs - this.refilledAtMs) / MS_PER_S;
    this.tokens = Math.min(burst, this.tokens + elapsedS * ratePerS);
    this.refilledAtMs = nowMs;
  }
}
