/** Measures the token latency of one attempt: the mean time between tokens. */
export class TokenLatencyMeter {
  private firstAtMs: number | undefined;
  private lastAtMs = 0;
  private gapCount = 0;

  private constructor() {}

  /**
   * Creates a meter for an attempt without tokens so far.
   *
   * @example
   * ```ts
   * const meter = TokenLatencyMeter.create();
   * meter.observe(performance.now());
   * ```
   */
  static create(): TokenLatencyMeter {
    return new TokenLatencyMeter();
  }

  /** Records the arrival of a token. */
  observe(nowMs: number): void {
    if (this.firstAtMs === undefined) this.firstAtMs = nowMs;
    else this.gapCount += 1;
    this.lastAtMs = nowMs;
  }

  /** Mean token latency in milliseconds; undefined before the second token. */
  get meanMs(): number | undefined {
    if (this.firstAtMs === undefined || this.gapCount === 0) return undefined;
    return (this.lastAtMs - this.firstAtMs) / this.gapCount;
  }
}
