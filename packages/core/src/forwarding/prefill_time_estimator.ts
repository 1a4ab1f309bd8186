import {clamp} from '../utils/math.js';

/** Below this, the time says more of queues than of reading. */
const MIN_TOKENS = 500;
/**
 * Part of the times that lie below the speed taken: waiting for others is in
 * each time too, and only the shorter ones tell of reading alone.
 */
const QUANTILE = 0.25;
const STEP = 0.08;
const FORECAST_WEIGHT = 0.04;
const FACTOR_RANGE = {least: 0.2, most: 3} as const;

/**
 * Time in which backend servers read prompts, learnt for each model, and how
 * far forecasts made with it were off.
 */
export class PrefillTimeEstimator {
  private readonly msPerToken = new Map<string, number>();
  private logFactor = 0;

  private constructor(private readonly initialMsPerToken: number) {}

  /**
   * @example
   * ```ts
   * const speed = PrefillTimeEstimator.create({initialMsPerToken: 0.02});
   * speed.read('large');
   * ```
   */
  static create(options: {
    readonly initialMsPerToken: number;
  }): PrefillTimeEstimator {
    return new PrefillTimeEstimator(options.initialMsPerToken);
  }

  /** Milliseconds for a token. */
  estimateMsPerToken(model: string): number {
    return this.msPerToken.get(model) ?? this.initialMsPerToken;
  }

  /** Takes in the time from a send to its first event. */
  observe(model: string, uncachedTokens: number, firstEventMs: number): void {
    if (uncachedTokens < MIN_TOKENS) return;
    const before = this.estimateMsPerToken(model);
    const isBelow = firstEventMs / uncachedTokens < before;
    const step = isBelow ? -STEP * (1 - QUANTILE) : STEP * QUANTILE;
    this.msPerToken.set(model, before * (1 + step));
  }

  /** Corrects a forecast by what became of earlier ones. */
  forecastMs(plainMs: number): number {
    return plainMs * Math.exp(this.logFactor);
  }

  /** Takes in what became of a forecast that was not corrected. */
  observeForecast(plainMs: number, seenMs: number): void {
    if (plainMs <= 0 || seenMs <= 0) return;
    const error = Math.log(seenMs / plainMs) - this.logFactor;
    const next = Math.exp(this.logFactor + FORECAST_WEIGHT * error);
    const {least, most} = FACTOR_RANGE;
    this.logFactor = Math.log(clamp(next, least, most));
  }
}
