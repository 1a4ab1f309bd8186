import type {ModelVersion} from '../types/identity.js';
import {
  ZERO_COUNTERS,
  subtractCounters,
  type VersionCounters,
} from './counters.js';
import type {EvidenceTable} from './evidence_table.js';
import {compareScores} from './sequential_test.js';
import {
  DEFAULT_ROLLOUT_SETTINGS,
  RAMP_POLICIES,
  canRelease,
  STOP_POLICIES,
  type RampPolicyName,
  type RolloutSettings,
  type StopPolicyName,
  type StopReason,
} from './rollout_policies.js';

/**
 * Decision on a version in rollout: `widen` advances to the next step,
 * `continue` keeps the step, `hold` limits the version to the hold share.
 */
export type RolloutDecision =
  | {readonly action: 'continue' | 'widen' | 'hold'; readonly share: number}
  | {
      readonly action: 'stop';
      readonly share: 0;
      readonly reason: StopReason;
      readonly candidate: VersionCounters;
      readonly baseline: VersionCounters;
    };

/** Options of {@link RolloutMonitor}. */
export interface RolloutMonitorOptions {
  readonly candidate: ModelVersion;
  /** The version that the candidate replaces. */
  readonly baseline: ModelVersion;
  /** Largest share that the rules allow. Default: 1. */
  readonly maxShare?: number;
  /** Default: `sequential`. */
  readonly stop?: StopPolicyName;
  /** Default: `evidence`. */
  readonly ramp?: RampPolicyName;
  readonly settings?: Partial<RolloutSettings>;
}

interface Snapshot {
  readonly takenMs: number;
  readonly candidate: VersionCounters;
  readonly baseline: VersionCounters;
}

/** Includes the window since the start of the rollout. */
const MAX_WINDOWS = 6;
const MIN_CONCURRENT_BASELINE_RATINGS = 20;

/**
 * Decides on the steps of one version in rollout from the evidence of all
 * entries. Every entry has its own monitor of the version.
 */
export class RolloutMonitor {
  private step = 0;
  /** State at the start of the hold; set while the version is held. */
  private heldSince: Snapshot | undefined;
  private checkOffset = 0;
  private stopped: RolloutDecision | undefined;
  private readonly windowStarts: Snapshot[];
  private stepStart: Snapshot;

  private constructor(
    private readonly options: Required<RolloutMonitorOptions>,
    private readonly settings: RolloutSettings,
    private start: Snapshot,
  ) {
    this.windowStarts = [start];
    this.stepStart = start;
  }

  /**
   * Creates a monitor at the first step of a rollout.
   *
   * @example
   * ```ts
   * const monitor = RolloutMonitor.create({candidate, baseline}, nowMs);
   * monitor.decide(table, nowMs).action; // 'continue'
   * ```
   */
  static create(options: RolloutMonitorOptions, nowMs: number): RolloutMonitor {
    const resolved = {
      maxShare: 1,
      stop: 'sequential',
      ramp: 'evidence',
      settings: {},
      ...options,
    } as const;
    const settings = {...DEFAULT_ROLLOUT_SETTINGS, ...resolved.settings};
    const start: Snapshot = {
      takenMs: nowMs,
      candidate: ZERO_COUNTERS,
      baseline: ZERO_COUNTERS,
    };
    return new RolloutMonitor(resolved, settings, start);
  }

  /** Share of the model's new requests that the version gets now. */
  get share(): number {
    if (this.stopped) return 0;
    const {steps, holdShare} = this.settings;
    const share = this.heldSince === undefined ? steps[this.step] : holdShare;
    return Math.min(this.options.maxShare, share);
  }

  /**
   * Index of the current step, to be passed to {@link adoptStep} of a peer's
   * monitor or of a new one.
   */
  get stepIndex(): number {
    return this.step;
  }

  /** Decides from the evidence known now; advances the step for `widen`. */
  decide(table: EvidenceTable, nowMs: number): RolloutDecision {
    if (this.stopped) return this.stopped;
    const now = this.takeSnapshot(table, nowMs);
    const stop = this.findStop(now);
    if (stop?.action === 'stop' && this.isFinal(stop.reason)) {
      this.stopped = stop;
      return stop;
    }
    this.startWindowWhenDue(now);
    if (stop !== undefined) this.heldSince ??= now;
    if (this.heldSince !== undefined) this.tryRelease(now, this.heldSince);
    if (this.heldSince !== undefined) {
      return {action: 'hold', share: this.share};
    }
    if (!this.isReadyToWiden(now))
      return {action: 'continue', share: this.share};
    this.step += 1;
    this.stepStart = now;
    return {action: 'widen', share: this.share};
  }

  /**
   * Advances to a step that a peer or a status object reports; earlier steps
   * are ignored.
   */
  adoptStep(step: number, table: EvidenceTable, nowMs: number): void {
    if (step <= this.step) return;
    this.step = Math.min(step, this.settings.steps.length - 1);
    this.stepStart = this.takeSnapshot(table, nowMs);
  }

  /**
   * Discards the evidence gathered so far, after an operator has allowed a
   * stopped version. The step is kept.
   */
  restart(table: EvidenceTable, nowMs: number): void {
    this.stopped = undefined;
    this.heldSince = undefined;
    this.checkOffset = 0;
    this.start = this.takeSnapshot(table, nowMs);
    this.stepStart = this.start;
    this.windowStarts.splice(0, this.windowStarts.length, this.start);
  }

  private isFinal(reason: StopReason): boolean {
    return reason !== 'checks' || this.settings.checkAction === 'stop';
  }

  // If the ratings since the start of the hold are good, the difference in
  // check scores is considered a bias of the check and is tolerated from then
  // on.
  private tryRelease(now: Snapshot, since: Snapshot): void {
    const evidence = {
      candidate: subtractCounters(now.candidate, since.candidate),
      baseline: this.resolveBaseline(now, since),
      falseStopRate: this.settings.falseStopRate,
      checkOffset: this.checkOffset,
    };
    if (!canRelease(evidence, this.settings)) return;
    const {baseline, candidate} = evidence;
    const difference = compareScores(baseline.checks, candidate.checks);
    this.checkOffset = difference?.mean ?? 0;
    this.heldSince = undefined;
    this.stepStart = now;
    this.windowStarts.splice(0, this.windowStarts.length, this.start);
  }

  private takeSnapshot(table: EvidenceTable, nowMs: number): Snapshot {
    return {
      takenMs: nowMs,
      candidate: table.readTotals(this.options.candidate),
      baseline: table.readTotals(this.options.baseline),
    };
  }

  private findStop(now: Snapshot): RolloutDecision | undefined {
    for (const since of this.windowStarts) {
      const candidate = subtractCounters(now.candidate, since.candidate);
      const baseline = this.resolveBaseline(now, since);
      const isStart = since === this.start;
      const falseStopRate = isStart
        ? this.settings.falseStopRate
        : this.settings.windowFalseStopRate;
      const {checkOffset} = this;
      const evidence = {candidate, baseline, falseStopRate, checkOffset};
      const reason = STOP_POLICIES[this.options.stop](evidence, this.settings);
      if (reason === undefined) continue;
      return {action: 'stop', share: 0, reason, candidate, baseline};
    }
    return undefined;
  }

  // At full share the baseline gets no more requests. With too few ratings of
  // it in the same period, its counters since the beginning are used instead.
  private resolveBaseline(now: Snapshot, since: Snapshot): VersionCounters {
    const concurrent = subtractCounters(now.baseline, since.baseline);
    const isEnough =
      concurrent.ratings.count >= MIN_CONCURRENT_BASELINE_RATINGS;
    return isEnough ? concurrent : now.baseline;
  }

  private startWindowWhenDue(now: Snapshot): void {
    const last = this.windowStarts[this.windowStarts.length - 1];
    if (now.takenMs - last.takenMs < this.settings.windowMs) return;
    this.windowStarts.push(now);
    // The first window, which starts with the rollout, is always kept.
    if (this.windowStarts.length > MAX_WINDOWS) this.windowStarts.splice(1, 1);
  }

  private isReadyToWiden(now: Snapshot): boolean {
    if (this.step >= this.settings.steps.length - 1) return false;
    if (this.settings.steps[this.step] >= this.options.maxShare) return false;
    const since = this.stepStart;
    const evidence = {
      candidate: subtractCounters(now.candidate, since.candidate),
      baseline: this.resolveBaseline(now, since),
      falseStopRate: this.settings.falseStopRate,
      checkOffset: this.checkOffset,
      stepAgeMs: now.takenMs - since.takenMs,
    };
    return RAMP_POLICIES[this.options.ramp](evidence, this.settings);
  }
}
