import {computeQuantile} from '../utils/math.js';

/** Options of {@link HedgeDelayEstimator}. */
export interface HedgeDelayEstimatorOptions {
  /**
   * Quantile of the time to the first token after which a second attempt
   * starts. Default: 0.95.
   */
  readonly quantile: number;
  /** Number of most recent latencies to keep. Default: 256. */
  readonly sampleCount: number;
  /** Number of latencies required before any hedge. Default: 50. */
  readonly minSampleCount: number;
}

const DEFAULTS: HedgeDelayEstimatorOptions = {
  quantile: 0.95,
  sampleCount: 256,
  minSampleCount: 50,
};
const RECOMPUTE_EVERY_SAMPLES = 32;

/**
 * Computes the delay after which a hedged (second) attempt of an idempotent
 * call may start, from the latencies of first attempts.
 */
export class HedgeDelayEstimator {
  private readonly samples: number[] = [];
  private nextIndex = 0;
  private samplesSinceComputed = 0;
  private delayMs: number | undefined;

  private constructor(private readonly options: HedgeDelayEstimatorOptions) {}

  /**
   * Creates an estimator without latencies.
   *
   * @example
   * ```ts
   * HedgeDelayEstimator.create().resolveDelayMs(true); // undefined: no hedge
   * ```
   */
  static create(
    options: Partial<HedgeDelayEstimatorOptions> = {},
  ): HedgeDelayEstimator {
    return new HedgeDelayEstimator({...DEFAULTS, ...options});
  }

  /** Records the time to the first token of a first attempt. */
  observe(firstTokenMs: number): void {
    this.samples[this.nextIndex] = firstTokenMs;
    this.nextIndex = (this.nextIndex + 1) % this.options.sampleCount;
    this.samplesSinceComputed += 1;
    if (this.samples.length < this.options.minSampleCount) return;
    const isStale = this.samplesSinceComputed >= RECOMPUTE_EVERY_SAMPLES;
    if (this.delayMs !== undefined && !isStale) return;
    this.samplesSinceComputed = 0;
    const sorted = [...this.samples].sort((a, b) => a - b);
    this.delayMs = computeQuantile(sorted, this.options.quantile);
  }

  /**
   * Returns the delay after the start of the first attempt at which a second
   * one may start, provided that the retry budget allows it at that time.
   *
   * @returns undefined when the call is not idempotent or there are too few
   *     latencies.
   */
  resolveDelayMs(isIdempotent: boolean): number | undefined {
    return isIdempotent ? this.delayMs : undefined;
  }
}
