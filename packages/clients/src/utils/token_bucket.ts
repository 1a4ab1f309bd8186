/** Rate and burst of a token bucket. */
export interface TokenBucketOptions {
  readonly ratePerS: number;
  /** Tokens held at most, and at the start. */
  readonly burst: number;
}

const MS_PER_S = 1000;

/** A token bucket whose callers may wait for tokens in turn. */
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
   * Takes one token and returns how long to wait before using it. Takes none
   * and returns undefined when the wait would exceed `maxWaitMs`.
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
