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

/** What to do with a version in roll-out. */
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
  /** Share that the rules allow at most; 1. */
  readonly maxShare?: number;
  /** `sequential`. */
  readonly stop?: StopPolicyName;
  /** `evidence`. */
  readonly ramp?: RampPolicyName;
  readonly settings?: Partial<RolloutSettings>;
}

interface Snapshot {
  readonly takenMs: number;
  readonly candidate: VersionCounters;
  readonly baseline: VersionCounters;
}

const MAX_WINDOWS = 6;
const MIN_CONCURRENT_BASELINE = 20;

/** Follows one version in roll-out on pooled evidence; one an entry. */
export class RolloutMonitor {
  private step = 0;
  /** Set while low check scores hold the version. */
  private heldSince: Snapshot | undefined;
  private checkOffset = 0;
  private stopped: RolloutDecision | undefined;
  private readonly windows: Snapshot[];
  private stepStart: Snapshot;

  private constructor(
    private readonly options: Required<RolloutMonitorOptions>,
    private readonly settings: RolloutSettings,
    private start: Snapshot,
  ) {
    this.windows = [start];
    this.stepStart = start;
  }

  /**
   * Creates the monitor of a roll-out at its first step.
   *
   * @example
   * ```ts
   * const monitor = RolloutMonitor.create({candidate, baseline}, nowMs);
   * monitor.decide(ledger, nowMs).action; // 'continue'
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

  /** The share of the model's new work at the present step. */
  get share(): number {
    if (this.stopped) return 0;
    const {steps, holdShare} = this.settings;
    const share = this.heldSince === undefined ? steps[this.step] : holdShare;
    return Math.min(this.options.maxShare, share);
  }

  /** The present step, for {@link adoptStep} of a peer's or a new monitor. */
  get stepIndex(): number {
    return this.step;
  }

  /** Decides on the evidence known now. */
  decide(ledger: EvidenceTable, nowMs: number): RolloutDecision {
    if (this.stopped) return this.stopped;
    const now = this.takeSnapshot(ledger, nowMs);
    const stop = this.findStop(now);
    if (stop?.action === 'stop' && this.isFinal(stop.reason)) {
      this.stopped = stop;
      return stop;
    }
    this.rollWindows(now);
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

  /** Takes over a later step that a peer or a status object tells of. */
  adoptStep(step: number, ledger: EvidenceTable, nowMs: number): void {
    if (step <= this.step) return;
    this.step = Math.min(step, this.settings.steps.length - 1);
    this.stepStart = this.takeSnapshot(ledger, nowMs);
  }

  /** Starts anew after an operator allowed a stopped version. */
  restart(ledger: EvidenceTable, nowMs: number): void {
    this.stopped = undefined;
    this.heldSince = undefined;
    this.checkOffset = 0;
    this.start = this.takeSnapshot(ledger, nowMs);
    this.stepStart = this.start;
    this.windows.splice(0, this.windows.length, this.start);
  }

  private isFinal(reason: StopReason): boolean {
    return reason !== 'checks' || this.settings.checkAction === 'stop';
  }

  // Ratings given since the hold began outweigh the check; its difference is
  // then taken as a property of the version.
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
    this.windows.splice(0, this.windows.length, this.start);
  }

  private takeSnapshot(ledger: EvidenceTable, nowMs: number): Snapshot {
    return {
      takenMs: nowMs,
      candidate: ledger.readTotals(this.options.candidate),
      baseline: ledger.readTotals(this.options.baseline),
    };
  }

  private findStop(now: Snapshot): RolloutDecision | undefined {
    for (const since of this.windows) {
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

  // At full share the baseline gets no more work, so its past stands in.
  private resolveBaseline(now: Snapshot, since: Snapshot): VersionCounters {
    const concurrent = subtractCounters(now.baseline, since.baseline);
    const isEnough = concurrent.ratings.count >= MIN_CONCURRENT_BASELINE;
    return isEnough ? concurrent : now.baseline;
  }

  private rollWindows(now: Snapshot): void {
    const last = this.windows[this.windows.length - 1];
    if (now.takenMs - last.takenMs < this.settings.windowMs) return;
    this.windows.push(now);
    // The test since the start stays; of the later ones, the oldest goes.
    if (this.windows.length > MAX_WINDOWS) this.windows.splice(1, 1);
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
