/** End of a dispatched request, as admission needs it. */
export interface DispatchOutcome {
  /** From dispatch to the end of the answer. */
  readonly serviceMs: number;
  /** From dispatch to the first token or byte. */
  readonly firstTokenMs: number;
  /** True when the backend server refused because it was full. */
  readonly wasRefused: boolean;
}

/** Bounds of the adaptive limit. */
export interface ConcurrencySettings {
  readonly initial: number;
  /** Refusals shrink the limit no further. */
  readonly min: number;
  /** Late first tokens shrink the limit no further. */
  readonly latencyMin: number;
  readonly max: number;
}

const GROWTH_LATENCY_FACTOR = 2;
const SHRINK_LATENCY_FACTOR = 4;
const SHRINK_FACTOR = 0.9;
const FLOOR_RISE = 0.002;
const LATENCY_WEIGHT = 0.1;
const MIN_COUNT = 20;
const BUSY_SHARE = 0.8;

/**
 * Requests to keep at the backend servers at once: grows by one a round trip
 * while first tokens come quickly, shrinks by a tenth when they are late or
 * refused.
 */
export class ConcurrencyLimit {
  private value: number;
  private floorMs = Infinity;
  private latencyMs = 0;
  private count = 0;
  private shrunkMs = -Infinity;

  private constructor(private readonly settings: ConcurrencySettings) {
    this.value = settings.initial;
  }

  /**
   * Creates a limit at its initial value.
   *
   * @example
   * ```ts
   * ConcurrencyLimit.create({initial: 16, min: 1, latencyMin: 8, max: 512}).limit; // 16
   * ```
   */
  static create(settings: ConcurrencySettings): ConcurrencyLimit {
    return new ConcurrencyLimit(settings);
  }

  get limit(): number {
    return Math.floor(this.value);
  }

  /** Takes in the end of a request that ran beside `inFlight` others. */
  observe(outcome: DispatchOutcome, inFlight: number, nowMs: number): void {
    const {firstTokenMs, wasRefused} = outcome;
    const {min, latencyMin} = this.settings;
    if (wasRefused) return this.shrink(min, nowMs);
    this.count += 1;
    const weight = Math.max(LATENCY_WEIGHT, 1 / this.count);
    this.latencyMs += weight * (firstTokenMs - this.latencyMs);
    if (this.count < MIN_COUNT) return;
    // The floor is of means: single answers from a cached prefix are quicker
    // than any idle server is on average.
    const risenMs = this.floorMs * (1 + FLOOR_RISE);
    this.floorMs = Math.min(risenMs, this.latencyMs);
    if (this.latencyMs > SHRINK_LATENCY_FACTOR * this.floorMs) {
      return this.shrink(Math.min(latencyMin, this.value), nowMs);
    }
    const isBusy = inFlight >= BUSY_SHARE * this.value;
    if (isBusy && this.latencyMs < GROWTH_LATENCY_FACTOR * this.floorMs) {
      this.value = Math.min(this.settings.max, this.value + 1 / this.value);
    }
  }

  private shrink(least: number, nowMs: number): void {
    const roundTripMs = Math.max(this.latencyMs, 1);
    if (nowMs - this.shrunkMs < roundTripMs) return;
    this.shrunkMs = nowMs;
    this.value = Math.max(least, this.value * SHRINK_FACTOR);
  }
}
