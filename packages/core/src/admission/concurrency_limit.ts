/** Outcome of a dispatched request. */
export interface DispatchOutcome {
  /** Time from dispatch to the end of the answer. */
  readonly serviceMs: number;
  /** Time from dispatch to the first token or byte. */
  readonly firstTokenMs: number;
  /** True when the backend server refused because it was full. */
  readonly wasRefused: boolean;
}

/** Initial value and bounds of the adaptive limit. */
export interface ConcurrencySettings {
  readonly initial: number;
  /** Lower bound when the limit shrinks because of refusals. */
  readonly minOnRefusal: number;
  /** Lower bound when it shrinks because of high first-token latency. */
  readonly minOnHighLatency: number;
  readonly max: number;
}

const GROWTH_LATENCY_FACTOR = 2;
const SHRINK_LATENCY_FACTOR = 4;
const SHRINK_FACTOR = 0.9;
const BASELINE_GROWTH = 0.002;
const LATENCY_WEIGHT = 0.1;
const MIN_SAMPLE_COUNT = 20;
const BUSY_UTILIZATION = 0.8;

/**
 * Adaptive limit on the requests in flight at the backend servers (additive
 * increase, multiplicative decrease): grows by one per round trip while the
 * first-token latency is low, shrinks by a tenth when it is high or a server
 * refuses a request.
 */
export class ConcurrencyLimit {
  private value: number;
  private baselineLatencyMs = Infinity;
  private meanLatencyMs = 0;
  private sampleCount = 0;
  private lastShrinkMs = -Infinity;

  private constructor(private readonly settings: ConcurrencySettings) {
    this.value = settings.initial;
  }

  /**
   * Creates a limit at its initial value.
   *
   * @example
   * ```ts
   * const limit = ConcurrencyLimit.create({
   *   initial: 16,
   *   minOnRefusal: 1,
   *   minOnHighLatency: 8,
   *   max: 512,
   * });
   * limit.limit; // 16
   * ```
   */
  static create(settings: ConcurrencySettings): ConcurrencyLimit {
    return new ConcurrencyLimit(settings);
  }

  get limit(): number {
    return Math.floor(this.value);
  }

  /**
   * Adjusts the limit to the outcome of a request.
   *
   * @param inFlight requests in flight, this one included.
   */
  observe(outcome: DispatchOutcome, inFlight: number, nowMs: number): void {
    const {firstTokenMs, wasRefused} = outcome;
    const {minOnRefusal, minOnHighLatency} = this.settings;
    if (wasRefused) return this.shrink(minOnRefusal, nowMs);
    this.sampleCount += 1;
    const weight = Math.max(LATENCY_WEIGHT, 1 / this.sampleCount);
    this.meanLatencyMs += weight * (firstTokenMs - this.meanLatencyMs);
    if (this.sampleCount < MIN_SAMPLE_COUNT) return;
    // The baseline is the lowest mean, not the lowest single latency: a single
    // answer from a cached prefix is faster than the mean of an idle server.
    const grownBaselineMs = this.baselineLatencyMs * (1 + BASELINE_GROWTH);
    this.baselineLatencyMs = Math.min(grownBaselineMs, this.meanLatencyMs);
    if (this.meanLatencyMs > SHRINK_LATENCY_FACTOR * this.baselineLatencyMs) {
      return this.shrink(Math.min(minOnHighLatency, this.value), nowMs);
    }
    const isBusy = inFlight >= BUSY_UTILIZATION * this.value;
    if (
      isBusy &&
      this.meanLatencyMs < GROWTH_LATENCY_FACTOR * this.baselineLatencyMs
    ) {
      this.value = Math.min(this.settings.max, this.value + 1 / this.value);
    }
  }

  private shrink(lowerBound: number, nowMs: number): void {
    const roundTripMs = Math.max(this.meanLatencyMs, 1);
    if (nowMs - this.lastShrinkMs < roundTripMs) return;
    this.lastShrinkMs = nowMs;
    this.value = Math.max(lowerBound, this.value * SHRINK_FACTOR);
  }
}
