const WEIGHT = 0.05;

/** Time that models take for the tokens of an answer, learnt for each. */
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

  /** Takes in a whole stream: its tokens, and the time behind its first event. */
  observe(model: string, tokens: number, durationMs: number): void {
    if (tokens <= 0) return;
    const seen = durationMs / tokens;
    const before = this.msPerToken.get(model) ?? seen;
    this.msPerToken.set(model, before + WEIGHT * (seen - before));
  }

  /** Time for an answer; 0 for a model of which nothing was seen. */
  estimateMs(model: string, tokens: number): number {
    return (this.msPerToken.get(model) ?? 0) * tokens;
  }
}
