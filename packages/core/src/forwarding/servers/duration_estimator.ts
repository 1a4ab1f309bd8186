/** Mean duration of similar requests, and how far durations are from it. */
export interface DurationEstimate {
  readonly meanMs: number;
  /** Mean distance of a duration from the mean. */
  readonly deviationMs: number;
}

const MEAN_WEIGHT = 0.05;
const DEVIATION_WEIGHT = 0.25;

/** Estimates durations by key, such as the name of a route. */
export class DurationEstimator {
  private readonly estimates = new Map<string, DurationEstimate>();

  private constructor() {}

  /**
   * @example
   * ```ts
   * const durations = DurationEstimator.create();
   * durations.observe('read', 200);
   * durations.estimate('read'); // {meanMs: 200, deviationMs: 0}
   * ```
   */
  static create(): DurationEstimator {
    return new DurationEstimator();
  }

  observe(key: string, durationMs: number): void {
    const {meanMs, deviationMs} = this.estimates.get(key) ?? {
      meanMs: durationMs,
      deviationMs: 0,
    };
    const distanceMs = Math.abs(durationMs - meanMs);
    this.estimates.set(key, {
      meanMs: meanMs + MEAN_WEIGHT * (durationMs - meanMs),
      deviationMs: deviationMs + DEVIATION_WEIGHT * (distanceMs - deviationMs),
    });
  }

  /** Returns undefined without observations. */
  estimate(key: string): DurationEstimate | undefined {
    return this.estimates.get(key);
  }
}
