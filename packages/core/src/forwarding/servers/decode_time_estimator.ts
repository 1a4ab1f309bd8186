const AVERAGING_WEIGHT = 0.05;

/** Estimates the decode time per output token of each model. */
export class DecodeTimeEstimator {
  private readonly msPerToken = new Map<string, number>();

  private constructor() {}

  /**
   * @example
   * ```ts
   * const speed = DecodeTimeEstimator.create();
   * speed.observe('large', 100, 900);
   * speed.estimateMs('large', 50); // 450
   * ```
   */
  static create(): DecodeTimeEstimator {
    return new DecodeTimeEstimator();
  }

  /**
   * Updates the estimate of a model from a complete stream.
   *
   * @param durationMs time from the first event to the end of the stream.
   */
  observe(model: string, tokens: number, durationMs: number): void {
    if (tokens <= 0) return;
    const observed = durationMs / tokens;
    const current = this.msPerToken.get(model) ?? observed;
    this.msPerToken.set(
      model,
      current + AVERAGING_WEIGHT * (observed - current),
    );
  }

  /**
   * Estimates the decode time of an answer in milliseconds.
   *
   * @returns 0 for a model without observations.
   */
  estimateMs(model: string, tokens: number): number {
    return (this.msPerToken.get(model) ?? 0) * tokens;
  }
}
