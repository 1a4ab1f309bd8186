import {computeQuantile} from '../utils/math.js';

/** Options of {@link HedgeDelayEstimator}. */
export interface HedgeDelayEstimatorOptions {
  /** Quantile of the first token after which a second attempt starts; 0.95. */
  readonly quantile: number;
  /** Latencies kept; 256. */
  readonly sampleCount: number;
  /** Latencies before any hedge; 50. */
  readonly minSampleCount: number;
}

const DEFAULTS: HedgeDelayEstimatorOptions = {
  quantile: 0.95,
  sampleCount: 256,
  minSampleCount: 50,
};
const RECOMPUTE_EVERY = 32;

/** Tells when a second attempt of an idempotent call is worth starting. */
export class HedgeDelayEstimator {
  private readonly samples: number[] = [];
  private next = 0;
  private sinceComputed = 0;
  private knownDelayMs: number | undefined;

  private constructor(private readonly options: HedgeDelayEstimatorOptions) {}

  /**
   * Creates a timer without latencies.
   *
   * @example
   * ```ts
   * HedgeDelayEstimator.create().resolveDelayMs(true); // undefined: no hedge yet
   * ```
   */
  static create(
    options: Partial<HedgeDelayEstimatorOptions> = {},
  ): HedgeDelayEstimator {
    return new HedgeDelayEstimator({...DEFAULTS, ...options});
  }

  /** Takes in the latency of a first attempt. */
  observe(firstTokenMs: number): void {
    this.samples[this.next] = firstTokenMs;
    this.next = (this.next + 1) % this.options.sampleCount;
    this.sinceComputed += 1;
    if (this.samples.length < this.options.minSampleCount) return;
    const isStale = this.sinceComputed >= RECOMPUTE_EVERY;
    if (this.knownDelayMs !== undefined && !isStale) return;
    this.sinceComputed = 0;
    const sorted = [...this.samples].sort((a, b) => a - b);
    this.knownDelayMs = computeQuantile(sorted, this.options.quantile);
  }

  /**
   * Time after the first attempt at which a second one may start, if the
   * retry budget allows it then.
   *
   * @returns undefined when the call must not or need not be hedged.
   */
  resolveDelayMs(isIdempotent: boolean): number | undefined {
    return isIdempotent ? this.knownDelayMs : undefined;
  }
}
