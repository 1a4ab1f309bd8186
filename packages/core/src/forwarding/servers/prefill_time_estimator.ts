import {clamp, computeQuantile} from '../../utils/math.js';

/** For fewer tokens, queueing dominates the time to the first event. */
const MIN_OBSERVED_TOKENS = 500;
/**
 * Quantile of the observed times that is tracked. Observed times include
 * queueing, so the lower ones are closer to the prefill time alone.
 */
const TARGET_QUANTILE = 0.25;
const QUANTILE_STEP = 0.08;
/**
 * First observations of a model that are kept, as steps alone would take a host
 * with few requests minutes to learn a time far from the initial one.
 */
const FIRST_OBSERVATION_COUNT = 12;
/** Observations from which the initial time is no longer used. */
const MIN_OBSERVATION_COUNT = 3;
const CORRECTION_WEIGHT = 0.04;
const CORRECTION_RANGE = {min: 0.2, max: 3} as const;

/**
 * Estimates the prefill time per prompt token of each model from observed
 * times, and corrects forecasts of the time to the first event by the error of
 * earlier ones.
 */
export class PrefillTimeEstimator {
  private readonly msPerToken = new Map<string, number>();
  private readonly firstObservations = new Map<string, number[]>();
  private logCorrection = 0;

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

  /** Returns the prefill time per token in milliseconds. */
  estimateMsPerToken(model: string): number {
    return this.msPerToken.get(model) ?? this.initialMsPerToken;
  }

  /**
   * Updates the estimate of a model.
   *
   * @param uncachedTokens prompt tokens that were not in the server's KV cache.
   * @param firstEventMs time from the send to the first event.
   */
  observe(model: string, uncachedTokens: number, firstEventMs: number): void {
    if (uncachedTokens < MIN_OBSERVED_TOKENS) return;
    const observed = firstEventMs / uncachedTokens;
    const first = this.firstObservations.get(model) ?? [];
    if (first.length < FIRST_OBSERVATION_COUNT) {
      this.observeFirst(model, [...first, observed]);
      return;
    }
    const current = this.estimateMsPerToken(model);
    const step =
      observed < current
        ? -QUANTILE_STEP * (1 - TARGET_QUANTILE)
        : QUANTILE_STEP * TARGET_QUANTILE;
    this.msPerToken.set(model, current * (1 + step));
  }

  private observeFirst(model: string, observations: number[]): void {
    this.firstObservations.set(model, observations);
    if (observations.length < MIN_OBSERVATION_COUNT) return;
    const sorted = [...observations].sort((a, b) => a - b);
    this.msPerToken.set(model, computeQuantile(sorted, TARGET_QUANTILE));
  }

  /** Corrects a forecast by the error of earlier ones. */
  forecastMs(rawForecastMs: number): number {
    return rawForecastMs * Math.exp(this.logCorrection);
  }

  /** Updates the correction from an uncorrected forecast and the actual time. */
  observeForecast(rawForecastMs: number, observedMs: number): void {
    if (rawForecastMs <= 0 || observedMs <= 0) return;
    const error = Math.log(observedMs / rawForecastMs) - this.logCorrection;
    const next = Math.exp(this.logCorrection + CORRECTION_WEIGHT * error);
    const {min, max} = CORRECTION_RANGE;
    this.logCorrection = Math.log(clamp(next, min, max));
  }
}
