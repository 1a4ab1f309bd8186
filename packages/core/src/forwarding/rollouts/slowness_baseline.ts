/** Answers of the old version after which there is a baseline. */
const MIN_ANSWERS = 4;
/** Weight of an answer of the old version, at least. */
const MIN_WEIGHT = 1 / 40;

/**
 * Mean slowness of the recent answers of the old version at one host. Load and
 * caches change the slowness of both versions during a rollout, so an answer is
 * compared with those of the same time.
 */
export class SlownessBaseline {
  private answerCount = 0;
  private meanSlowness = 0;

  private constructor() {}

  /**
   * @example
   * ```ts
   * const baseline = SlownessBaseline.create();
   * baseline.record(0.4);
   * baseline.relate(0.9); // undefined: too few answers
   * ```
   */
  static create(): SlownessBaseline {
    return new SlownessBaseline();
  }

  /**
   * Returns a slowness relative to the recent answers of the old version;
   * undefined while there are too few.
   */
  relate(slowness: number): number | undefined {
    if (this.answerCount < MIN_ANSWERS) return undefined;
    return slowness - this.meanSlowness;
  }

  /** Records the slowness of an answer of the old version. */
  record(slowness: number): void {
    this.answerCount += 1;
    const weight = Math.max(MIN_WEIGHT, 1 / this.answerCount);
    this.meanSlowness += weight * (slowness - this.meanSlowness);
  }
}
