const AVERAGING_WEIGHT = 0.05;

/** Time that models take for the tokens of an answer, learnt for each. */
export class WriteSpeed {
  private readonly msPerToken = new Map<string, number>();

  private constructor() {}

  /**
   * @example
   * ```ts
   * const speed = WriteSpeed.create();
   * speed.observe('large', 100, 900);
   * speed.estimateMs('large', 50); // 450
   * ```
   */
  static create(): WriteSpeed {
    return new WriteSpeed();
  }

  /** Takes in a whole stream: its tokens, and the time behind its first event. */
  observe(model: string, tokens: number, durationMs: number): void {
    if (tokens <= 0) return;
    const observed = durationMs / tokens;
    const current = this.msPerToken.get(model) ?? observed;
    this.msPerToken.set(
      model,
      current + AVERAGING_WEIGHT * (observed - current),
    );
  }

  /** Time for an answer; 0 for a model of which nothing was seen. */
  estimateMs(model: string, tokens: number): number {
    return (this.msPerToken.get(model) ?? 0) * tokens;
  }
}
