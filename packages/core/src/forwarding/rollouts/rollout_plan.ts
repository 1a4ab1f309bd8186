import {hashToUint32} from '../../utils/hash.js';

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
  /** Index of the step that the writer had reached; 0 if undefined. */
  readonly step?: number;
}

/** How a host distributes requests between the two versions. */
export type RolloutPhase =
  /** A share of the sessions uses the new version. */
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

/** What the answers so far say of the new version. */
export type VersionAssessment =
  /** Too few to have shown a bad version. */
  | 'unknown'
  /** Enough to have shown a bad version. */
  | 'looksGood'
  /** The version may be bad; it gets no larger share meanwhile. */
  | 'suspect';

/** A step during which a share of the sessions uses the new version. */
interface SamplingStep {
  /** Share of the duration after which the step may begin. */
  readonly startShare: number;
  /** Sampled share of the sessions, as a multiple of the exposure share. */
  readonly exposureFactor: number;
}

/**
 * A later step is taken only if there are too few answers to judge the new
 * version, so that the sum of its requests stays small. Sessions must not move
 * to the new version in the first half.
 */
const SAMPLING_STEPS: readonly SamplingStep[] = [
  {startShare: 0, exposureFactor: 0.6},
  {startShare: 0.52, exposureFactor: 1.6},
  {startShare: 0.64, exposureFactor: 4},
];
const MAX_SAMPLED_SHARE = 0.6;
const SAMPLING_SEED = 1;
const UINT32_RANGE = 0x1_0000_0000;
/** Step in which all new work goes to the new version. */
const SHIFT_STEP = SAMPLING_STEPS.length;
const SHIFT_START_SHARE = 0.78;
/** Share after which the shift begins however few answers there are. */
const LATEST_SHIFT_SHARE = 0.94;
/** Share of the duration that the old version has to drain. */
const MIN_SHIFT_SHARE = 0.1;
/**
 * Success is declared this share of the duration before the deadline, if the
 * new version is proven good by then.
 */
const END_MARGIN_SHARE = 0.06;
const MIN_END_MARGIN_MS = 1000;
/** Multiple of the duration after which few answers suffice for success. */
const OVERDUE_FACTOR = 2;

/** Schedule of one ordered rollout at one host. */
export class RolloutPlan {
  private constructor(
    readonly order: RolloutOrder,
    private readonly startedMs: number,
    private readonly bounds: RolloutBounds,
    /** Index of the current step; it only grows. */
    readonly step: number,
    /** When this host moved all new work to the new version. */
    private readonly shiftedMs: number | undefined,
  ) {}

  /**
   * Plans a rollout that starts when this host receives the order, or earlier
   * by the elapsed time in the store.
   *
   * @example
   * ```ts
   * const plan = RolloutPlan.create(order, nowMs, {exposureShare: 0.1});
   * plan.phase; // 'sampling'
   * ```
   */
  static create(
    order: RolloutOrder,
    nowMs: number,
    bounds: RolloutBounds,
  ): RolloutPlan {
    const startedMs = nowMs - (order.elapsedMs ?? 0);
    const plan = new RolloutPlan(order, startedMs, bounds, 0, undefined);
    return plan.withStep(order.step ?? 0, nowMs);
  }

  /**
   * Returns the schedule for a newer state of the same order. A host that
   * started later than others adopts their earlier start.
   */
  withOrder(order: RolloutOrder, nowMs: number): RolloutPlan {
    const {startedMs, bounds, step, shiftedMs} = this;
    const plan = new RolloutPlan(order, startedMs, bounds, step, shiftedMs);
    return plan
      .withElapsed(order.elapsedMs ?? 0, nowMs)
      .withStep(order.step ?? 0, nowMs);
  }

  /** Returns the schedule with the earlier start that another host knows. */
  withElapsed(elapsedMs: number, nowMs: number): RolloutPlan {
    const startedMs = nowMs - elapsedMs;
    if (startedMs >= this.startedMs) return this;
    const {order, bounds, step, shiftedMs} = this;
    return new RolloutPlan(order, startedMs, bounds, step, shiftedMs);
  }

  /** Returns the schedule at a step, unless it is at a later one already. */
  withStep(step: number, nowMs: number): RolloutPlan {
    const next = Math.min(SHIFT_STEP, step);
    if (next <= this.step) return this;
    const {order, startedMs, bounds} = this;
    const shiftedMs = next === SHIFT_STEP ? nowMs : undefined;
    return new RolloutPlan(order, startedMs, bounds, next, shiftedMs);
  }

  /** Returns the schedule at the step that is due. */
  advance(nowMs: number, assessment: VersionAssessment): RolloutPlan {
    if (assessment === 'suspect') return this;
    const elapsedShare = this.elapsedMs(nowMs) / this.order.durationMs;
    const looksGood = assessment === 'looksGood';
    const shiftShare = looksGood ? SHIFT_START_SHARE : LATEST_SHIFT_SHARE;
    if (elapsedShare >= shiftShare) return this.withStep(SHIFT_STEP, nowMs);
    if (looksGood) return this;
    const step = SAMPLING_STEPS.findLastIndex(
      ({startShare}) => elapsedShare >= startShare,
    );
    return this.withStep(step, nowMs);
  }

  elapsedMs(nowMs: number): number {
    return nowMs - this.startedMs;
  }

  get phase(): RolloutPhase {
    const {state} = this.order;
    if (state === 'succeeded' || state === 'rolledBack') return state;
    return this.step === SHIFT_STEP ? 'shifting' : 'sampling';
  }

  /**
   * True when success has to be declared to be known before the deadline, and
   * the old version has had time to drain.
   */
  isSuccessDue(nowMs: number): boolean {
    const {durationMs} = this.order;
    const {shiftedMs = Infinity} = this;
    const marginMs = Math.max(MIN_END_MARGIN_MS, END_MARGIN_SHARE * durationMs);
    const hasDrained = nowMs - shiftedMs >= MIN_SHIFT_SHARE * durationMs;
    return hasDrained && this.elapsedMs(nowMs) >= durationMs - marginMs;
  }

  /** True when a service with few requests has been shifted for long enough. */
  isOverdue(nowMs: number): boolean {
    const overdueMs = OVERDUE_FACTOR * this.order.durationMs;
    return this.isSuccessDue(nowMs) && this.elapsedMs(nowMs) >= overdueMs;
  }

  /**
   * True in the step in which a session that began on the old version must stay
   * there, also if it is sampled.
   */
  get holdsSessions(): boolean {
    return this.phase === 'sampling' && this.step === 0;
  }

  /** True for keys that use the new version while sampling. */
  isSampled(key: string): boolean {
    return this.isHashSampled(this.hashKey(key));
  }

  /** Hash of a key that decides whether it is sampled; the same on all hosts. */
  hashKey(key: string): number {
    return hashToUint32(`${this.order.target}/${key}`, SAMPLING_SEED);
  }

  /** True for the hashes of keys that use the new version while sampling. */
  isHashSampled(hash: number): boolean {
    const {exposureFactor} =
      SAMPLING_STEPS[Math.min(this.step, SAMPLING_STEPS.length - 1)];
    const share = exposureFactor * this.bounds.exposureShare;
    return hash / UINT32_RANGE < Math.min(MAX_SAMPLED_SHARE, share);
  }
}
