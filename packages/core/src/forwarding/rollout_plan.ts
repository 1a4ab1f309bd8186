import {hashToUnitInterval} from '../utils/hash.js';

/** State of an ordered rollout, as kept in the store. */
export type RolloutState = 'running' | 'succeeded' | 'rolledBack';

/** An operator's order to move a service to a version. */
export interface RolloutOrder {
  readonly service: string;
  readonly target: string;
  /** Time from the order to its deadline. */
  readonly durationMs: number;
  /** Undefined until a host has started the rollout. */
  readonly state: RolloutState | undefined;
  /** Time from the order to the write of the state, as seen by its writer. */
  readonly elapsedMs: number | undefined;
}

/** How a host distributes requests between the two versions. */
export type RolloutPhase =
  /** A small share of the sessions uses the new version. */
  | 'sampling'
  /** All new work goes to the new version, and the old one drains. */
  | 'shifting'
  | 'succeeded'
  | 'rolledBack';

/** Limits of a rollout. */
export interface RolloutBounds {
  /** Share of the requests that an unproven version may get. */
  readonly exposureShare: number;
}

/** Share of the exposure used while sampling; the rest is for the shift. */
const SAMPLING_SHARE = 0.6;
/** Share of the duration after which all new work goes to the new version. */
const SHIFT_START_SHARE = 0.78;
/**
 * Success is declared at the latest this share of the duration before the
 * deadline.
 */
const END_MARGIN_SHARE = 0.06;
const MIN_END_MARGIN_MS = 1000;

/** Schedule of one ordered rollout at one host. */
export class RolloutPlan {
  private constructor(
    readonly order: RolloutOrder,
    private readonly startedMs: number,
    private readonly bounds: RolloutBounds,
  ) {}

  /**
   * Plans a rollout that starts when this host receives the order, or earlier
   * by the elapsed time in the store.
   *
   * @example
   * ```ts
   * const plan = RolloutPlan.create(order, nowMs, {exposureShare: 0.1});
   * plan.phase(nowMs); // 'sampling'
   * ```
   */
  static create(
    order: RolloutOrder,
    nowMs: number,
    bounds: RolloutBounds,
  ): RolloutPlan {
    return new RolloutPlan(order, nowMs - (order.elapsedMs ?? 0), bounds);
  }

  /**
   * Returns the schedule for a newer state of the same order. A host that
   * started later than others adopts their earlier start.
   */
  withOrder(order: RolloutOrder, nowMs: number): RolloutPlan {
    const startedMs = nowMs - (order.elapsedMs ?? 0);
    const earliestMs = Math.min(this.startedMs, startedMs);
    return new RolloutPlan(order, earliestMs, this.bounds);
  }

  elapsedMs(nowMs: number): number {
    return nowMs - this.startedMs;
  }

  phase(nowMs: number): RolloutPhase {
    const {state, durationMs} = this.order;
    if (state === 'succeeded' || state === 'rolledBack') return state;
    const isShifting = this.elapsedMs(nowMs) >= SHIFT_START_SHARE * durationMs;
    return isShifting ? 'shifting' : 'sampling';
  }

  /** True when success has to be declared to be known before the deadline. */
  isSuccessDue(nowMs: number): boolean {
    const {durationMs} = this.order;
    const marginMs = Math.max(MIN_END_MARGIN_MS, END_MARGIN_SHARE * durationMs);
    return this.elapsedMs(nowMs) >= durationMs - marginMs;
  }

  /** True for keys whose new sessions use the new version while sampling. */
  isSampled(key: string): boolean {
    const seed = 1;
    const share = SAMPLING_SHARE * this.bounds.exposureShare;
    return hashToUnitInterval(`${this.order.target}/${key}`, seed) < share;
  }
}
