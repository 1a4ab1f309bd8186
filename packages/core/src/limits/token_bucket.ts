const MS_PER_S = 1000;

/** Token bucket whose rate and size can change while it is in use. */
export class TokenBucket {
  private constructor(
    private ratePerS: number,
    private size: number,
    private tokens: number,
    private refilledMs: number,
  ) {}

  /**
   * Creates a full bucket.
   *
   * @example
   * ```ts
   * const bucket = TokenBucket.create(10, 20, nowMs);
   * ```
   */
  static create(ratePerS: number, size: number, nowMs: number): TokenBucket {
    return new TokenBucket(ratePerS, size, size, nowMs);
  }

  /** Changes the rate and size; tokens above the new size are discarded. */
  resize(ratePerS: number, size: number, nowMs: number): void {
    this.refill(nowMs);
    this.ratePerS = ratePerS;
    this.size = size;
    this.tokens = Math.min(this.tokens, size);
  }

  /** Takes a token if one is available; returns whether it did. */
  tryTake(nowMs: number): boolean {
    this.refill(nowMs);
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  /**
   * Returns the time until a token is available, counted from the last refill;
   * Infinity if the rate is 0.
   */
  readWaitMs(): number {
    if (this.ratePerS <= 0) return Infinity;
    return (Math.max(0, 1 - this.tokens) / this.ratePerS) * MS_PER_S;
  }

  private refill(nowMs: number): void {
    const gained = ((nowMs - this.refilledMs) / MS_PER_S) * this.ratePerS;
    this.tokens = Math.min(this.size, this.tokens + gained);
    this.refilledMs = nowMs;
  }
}
