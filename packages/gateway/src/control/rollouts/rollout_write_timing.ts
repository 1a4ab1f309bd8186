import type {Random, RolloutOrder} from '@anvilrudder/core';

/** Dependencies of {@link RolloutWriteTiming}. */
export interface RolloutWriteTimingOptions {
  readonly random: Random;
  /** Number of hosts that write the same states, including this one. */
  readonly countHosts: () => number;
}

/** Interval of progress writes, as a share of the duration of the rollout. */
const PROGRESS_PERIOD_SHARE = 0.2;
const MIN_PROGRESS_PERIOD_MS = 3000;
/**
 * Maximum random delay before a write, per host. It is long enough for most
 * hosts to see that another host has already written the same state.
 */
const WRITE_JITTER_PER_HOST_MS = 100;
/** Time until the other hosts see what one of them has written. */
const PROPAGATION_DELAY_MS = 800;
const MAX_WRITE_JITTER_MS = 2000;

/**
 * Computes when a host writes the state of a rollout, so that one of many hosts
 * writes it and the others see that.
 */
export class RolloutWriteTiming {
  private constructor(private readonly options: RolloutWriteTimingOptions) {}

  static create(options: RolloutWriteTimingOptions): RolloutWriteTiming {
    return new RolloutWriteTiming(options);
  }

  /** Draws the random delay before a write, in milliseconds. */
  drawJitterMs(): number {
    const {random, countHosts} = this.options;
    const maxJitterMs = WRITE_JITTER_PER_HOST_MS * countHosts();
    return random() * Math.min(MAX_WRITE_JITTER_MS, maxJitterMs);
  }

  /** Next time at which the host that wrote the progress writes it again. */
  computeNextProgressMs({durationMs}: RolloutOrder, nowMs: number): number {
    const periodMs = PROGRESS_PERIOD_SHARE * durationMs;
    return nowMs + Math.max(MIN_PROGRESS_PERIOD_MS, periodMs);
  }

  /** Time at which another host writes it if it has seen no newer progress. */
  computeTakeoverMs(order: RolloutOrder, nowMs: number): number {
    const dueMs = this.computeNextProgressMs(order, nowMs);
    return dueMs + PROPAGATION_DELAY_MS + this.drawJitterMs();
  }
}
