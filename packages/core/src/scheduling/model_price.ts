import {clamp} from '../utils/math.js';

/** When the price of capacity rises and escalations stop. */
export interface ModelPriceOptions {
  /** Pressure from which escalations cost more than usual. */
  readonly riseFrom: number;
  /** Pressure at which low priorities are no longer escalated. */
  readonly stopLowAt: number;
  /** Pressure at which no request is escalated. */
  readonly stopAllAt: number;
}

/** Time in which the price falls by half after the pressure has fallen. */
const FALL_HALF_LIFE_MS = 3000;

/**
 * Price of capacity for escalations to larger models of one service, under a
 * load that exceeds the capacity. The largest model costs ten times the
 * smallest, so that escalations stop before first sends are rejected. The price
 * rises at once and falls slowly: escalations that have stopped lower the
 * pressure themselves, and would otherwise start and stop in turn.
 */
export class ModelPrice {
  private pressure = 0;
  private updatedMs = -Infinity;

  private constructor(private readonly options: ModelPriceOptions) {}

  /**
   * @example
   * ```ts
   * const price = ModelPrice.create({riseFrom: 0.1, stopLowAt: 0.3, stopAllAt: 0.5});
   * price.update(0.2, nowMs);
   * price.read(1, nowMs); // 0.5
   * ```
   */
  static create(options: ModelPriceOptions): ModelPrice {
    return new ModelPrice(options);
  }

  /**
   * @param pressure wait in the servers' queues relative to the time that the
   *     latency target leaves for it; 0 without scarcity.
   */
  update(pressure: number, nowMs: number): void {
    this.pressure = Math.max(pressure, this.readPressure(nowMs));
    this.updatedMs = nowMs;
  }

  /**
   * Returns the price for a priority: 0 without scarcity, below 1 while only
   * some answers are worth an escalation, Infinity if none is.
   */
  read(priority: number, nowMs: number): number {
    const {riseFrom, stopLowAt, stopAllAt} = this.options;
    const stopAt = priority === 0 ? stopAllAt : stopLowAt;
    const pressure = this.readPressure(nowMs);
    if (pressure >= stopAt) return Infinity;
    return clamp((pressure - riseFrom) / (stopAt - riseFrom), 0, 1);
  }

  private readPressure(nowMs: number): number {
    if (this.pressure === 0) return 0;
    return (
      this.pressure * 0.5 ** ((nowMs - this.updatedMs) / FALL_HALF_LIFE_MS)
    );
  }
}
