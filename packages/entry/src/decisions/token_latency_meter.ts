/** Measures the mean time between the tokens of one attempt. */
export class TokenLatencyMeter {
  private firstAtMs: number | undefined;
  private lastAtMs = 0;
  private gapCount = 0;

  private constructor() {}

  /**
   * @example
   * ```ts
   * const pace = TokenLatencyMeter.create();
   * pace.observe(performance.now());
   * ```
   */
  static create(): TokenLatencyMeter {
    return new TokenLatencyMeter();
  }

  observe(nowMs: number): void {
    if (this.firstAtMs === undefined) this.firstAtMs = nowMs;
    else this.gapCount += 1;
    this.lastAtMs = nowMs;
  }

  /** Undefined before the second token. */
  get meanMs(): number | undefined {
    if (this.firstAtMs === undefined || this.gapCount === 0) return undefined;
    return (this.lastAtMs - this.firstAtMs) / this.gapCount;
  }
}
