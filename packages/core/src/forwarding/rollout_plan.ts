import {hashToUnitInterval} from '../utils/hash.js';

/** How far an ordered roll-out has come, as the store keeps it. */
export type RolloutState = 'running' | 'succeeded' | 'rolledBack';

/** An operator's order to move a service to a version. */
export interface RolloutOrder {
  readonly service: string;
  readonly target: string;
  /** Time from the order to its deadline. */
  readonly durationMs: number;
  /** Undefined until a host has taken it up. */
  readonly state: RolloutState | undefined;
  /** Time since the order when the state was written, by its writer. */
  readonly elapsedMs: number | undefined;
}

/** What a host does with the two versions now. */
export type RolloutPhase =
  /** A small part of the sessions tries the new version. */
  | 'sampling'
  /** All new work goes to the new version, and the old one empties. */
  | 'shifting'
  | 'succeeded'
  | 'rolledBack';

/** Bounds of a roll-out. */
export interface RolloutBounds {
  /** Part of the requests that a version may get before it is proven. */
  readonly exposureShare: number;
}

/** Part of the exposure that sampling uses; the shift takes the rest. */
const SAMPLING_SHARE = 0.6;
/** Part of the time after which all new work goes to the new version. */
const SHIFT_AT = 0.78;
/** Time before the deadline at which success is declared at the latest. */
const END_MARGIN_SHARE = 0.06;
const MIN_END_MARGIN_MS = 1000;

/** The course of one ordered roll-out at one host. */
export class RolloutPlan {
  private constructor(
    readonly order: RolloutOrder,
    private readonly startedMs: number,
    private readonly bounds: RolloutBounds,
  ) {}

  /**
   * Plans a roll-out from the moment at which this host sees the order.
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
   * The same course under a newer state of the same order. A host that began
   * later than others takes the start from them.
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
    const isShifting = this.elapsedMs(nowMs) >= SHIFT_AT * durationMs;
    return isShifting ? 'shifting' : 'sampling';
  }

  /** True when success is due, so that it is known before the deadline. */
  isSuccessDue(nowMs: number): boolean {
    const {durationMs} = this.order;
    const marginMs = Math.max(MIN_END_MARGIN_MS, END_MARGIN_SHARE * durationMs);
    return this.elapsedMs(nowMs) >= durationMs - marginMs;
  }

  /** True for keys whose new sessions try the new version while sampling. */
  isSampled(key: string): boolean {
    const seed = 1;
    const share = SAMPLING_SHARE * this.bounds.exposureShare;
    return hashToUnitInterval(`${this.order.target}/${key}`, seed) < share;
  }
}
