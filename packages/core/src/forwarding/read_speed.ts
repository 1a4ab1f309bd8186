import {clamp} from '../utils/math.js';

/** Below this, the time says more of queues than of reading. */
const MIN_OBSERVED_TOKENS = 500;
/**
 * Part of the times that lie below the speed taken: waiting for others is in
 * each time too, and only the shorter ones tell of reading alone.
 */
const TARGET_QUANTILE = 0.25;
const QUANTILE_STEP = 0.08;
const CORRECTION_WEIGHT = 0.04;
const CORRECTION_RANGE = {min: 0.2, max: 3} as const;

/**
 * Time in which backend servers read prompts, learnt for each model, and how
 * far forecasts made with it were off.
 */
export class ReadSpeed {
  private readonly msPerToken = new Map<string, number>();
  private logCorrection = 0;

  private constructor(private readonly initialMsPerToken: number) {}

  /**
   * @example
   * ```ts
   * const speed = ReadSpeed.create({initialMsPerToken: 0.02});
   * speed.read('large');
   * ```
   */
  static create(options: {readonly initialMsPerToken: number}): ReadSpeed {
    return new ReadSpeed(options.initialMsPerToken);
  }

  /** Milliseconds for a token. */
  read(model: string): number {
    return this.msPerToken.get(model) ?? this.initialMsPerToken;
  }

  /** Takes in the time from a send to its first event. */
  observe(model: string, unreadTokens: number, firstEventMs: number): void {
    if (unreadTokens < MIN_OBSERVED_TOKENS) return;
    const current = this.read(model);
    const isShorter = firstEventMs / unreadTokens < current;
    const step = isShorter
      ? -QUANTILE_STEP * (1 - TARGET_QUANTILE)
      : QUANTILE_STEP * TARGET_QUANTILE;
    this.msPerToken.set(model, current * (1 + step));
  }

  /** Corrects a forecast by what became of earlier ones. */
  forecastMs(rawForecastMs: number): number {
    return rawForecastMs * Math.exp(this.logCorrection);
  }

  /** Takes in what became of a forecast that was not corrected. */
  observeForecast(rawForecastMs: number, observedMs: number): void {
    if (rawForecastMs <= 0 || observedMs <= 0) return;
    const error = Math.log(observedMs / rawForecastMs) - this.logCorrection;
    const next = Math.exp(this.logCorrection + CORRECTION_WEIGHT * error);
    const {min, max} = CORRECTION_RANGE;
    this.logCorrection = Math.log(clamp(next, min, max));
  }
}
