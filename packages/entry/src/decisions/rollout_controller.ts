import {
  EvidenceTable,
  RolloutMonitor,
  RulingTable,
  formatModelVersion,
  isSameModelVersion,
  type EvidenceSample,
  type MemberId,
  type ModelOption,
  type ModelVersion,
  type RolloutRule,
  type RuleSet,
  type Ruling,
} from '@anvilrudder/core';

/**
 * Time after an operator has allowed a version during which its rollout test
 * restarts at each evaluation.
 */
const GRACE_PERIOD_MS = 30_000;

/** Options of {@link RolloutController}. */
export interface RolloutControllerOptions {
  readonly member: MemberId;
  /**
   * True when shares grow in steps, on evidence, up to the shares in the rules;
   * false when the shares in the rules apply from the start.
   */
  readonly rampsOnEvidence: boolean;
  /** Called when the rollout test of this entry stops a version. */
  readonly onStop: (ruling: Ruling) => void;
}

interface ActiveRollout {
  readonly monitor: RolloutMonitor;
  readonly maxShare: number;
  readonly baseline: ModelVersion;
}

interface CachedOptions {
  readonly key: string;
  readonly options: readonly ModelOption[];
}

/**
 * Controls the rollouts in the rules in force: raises the shares of versions in
 * rollout and stops versions that fail the rollout test.
 */
export class RolloutController {
  readonly evidence: EvidenceTable;
  readonly rulings = RulingTable.create();
  private readonly activeRollouts = new Map<string, ActiveRollout>();
  private readonly peerSteps = new Map<string, number>();
  private readonly allowedAtMs = new Map<string, number>();
  private readonly limitedOptionsCache = new WeakMap<
    readonly ModelOption[],
    CachedOptions
  >();

  private constructor(private readonly options: RolloutControllerOptions) {
    this.evidence = EvidenceTable.create(options.member);
  }

  /**
   * Creates a controller without rollouts, evidence or rulings.
   *
   * @example
   * ```ts
   * const rollouts = RolloutController.create(options);
   * rollouts.evaluateRollouts(rules);
   * ```
   */
  static create(options: RolloutControllerOptions): RolloutController {
    return new RolloutController(options);
  }

  /** Records a request or rating of a version as observed by this entry. */
  record(version: ModelVersion, sample: EvidenceSample): void {
    this.evidence.record(version, sample);
  }

  isStopped(version: ModelVersion): boolean {
    return this.rulings.isStopped(version);
  }

  /**
   * Merges a ruling received from a peer or read from the object API.
   *
   * @returns true if it replaced the ruling known so far or is the first one
   *     on its version.
   */
  mergeRuling(ruling: Ruling): boolean {
    const isNew = this.rulings.merge(ruling);
    if (isNew) this.applyAllowedRuling(ruling);
    return isNew;
  }

  /** Records an operator's ruling, which replaces any ruling known so far. */
  recordOperatorRuling(
    version: ModelVersion,
    state: Ruling['state'],
    operator: string,
    reason: string,
  ): Ruling {
    const ruling = this.rulings.recordOperatorRuling(
      version,
      state,
      operator,
      reason,
    );
    this.applyAllowedRuling(ruling);
    return ruling;
  }

  /** Returns the step index of each active rollout, by `model@version`. */
  listSteps(): ReadonlyMap<string, number> {
    const steps = new Map<string, number>();
    for (const [key, {monitor}] of this.activeRollouts) {
      steps.set(key, monitor.stepIndex);
    }
    return steps;
  }

  /** Adopts the steps of a peer that are later than those known here. */
  mergeSteps(steps: ReadonlyMap<string, number>): void {
    for (const [key, step] of steps) {
      if (step <= (this.peerSteps.get(key) ?? 0)) continue;
      this.peerSteps.set(key, step);
      const monitor = this.activeRollouts.get(key)?.monitor;
      monitor?.adoptStep(step, this.evidence, performance.now());
    }
  }

  /**
   * Evaluates each rollout that has a share and a baseline in the rules, and
   * forgets the others.
   */
  evaluateRollouts(rules: RuleSet): void {
    const ruledKeys = new Set<string>();
    for (const rollout of rules.rollouts) {
      const baseline = findBaseline(rules, rollout);
      if (rollout.share === 0 || baseline === undefined) continue;
      ruledKeys.add(formatModelVersion(rollout));
      this.evaluateRollout(rollout, baseline);
    }
    for (const key of this.activeRollouts.keys()) {
      if (ruledKeys.has(key)) continue;
      this.activeRollouts.delete(key);
      this.peerSteps.delete(key);
    }
  }

  /**
   * Limits versions in rollout to their current share. The other versions of
   * the model get the rest, and nothing once versions in rollout have all of
   * it. Returns the same array as long as the shares are the same.
   */
  limitShares(
    options: readonly ModelOption[],
    rollouts: readonly RolloutRule[],
  ): readonly ModelOption[] {
    if (rollouts.length === 0) return options;
    const shares = this.resolveShares(options, rollouts);
    const key = shares.join();
    const cached = this.limitedOptionsCache.get(options);
    if (cached?.key === key) return cached.options;
    const limited = options.map((option, index) => ({
      ...option,
      share: shares[index],
    }));
    this.limitedOptionsCache.set(options, {key, options: limited});
    return limited;
  }

  private resolveShares(
    options: readonly ModelOption[],
    rollouts: readonly RolloutRule[],
  ): readonly number[] {
    const rolloutShares = options.map(option =>
      rollouts.some(rule => isSameModelVersion(rule, option))
        ? this.resolveRolloutShare(option)
        : undefined,
    );
    const rolloutShareByModel = new Map<string, number>();
    for (const [index, {model}] of options.entries()) {
      const modelShare = rolloutShareByModel.get(model) ?? 0;
      rolloutShareByModel.set(model, modelShare + (rolloutShares[index] ?? 0));
    }
    return options.map(({model, share}, index) => {
      const isFullyRolledOut = (rolloutShareByModel.get(model) ?? 0) >= 1;
      return rolloutShares[index] ?? (isFullyRolledOut ? 0 : share);
    });
  }

  private resolveRolloutShare(option: ModelOption): number {
    if (this.isStopped(option)) return 0;
    const monitor = this.options.rampsOnEvidence
      ? this.findMonitor(option)
      : undefined;
    return Math.min(option.share, monitor?.share ?? 1);
  }

  private evaluateRollout(rollout: RolloutRule, baseline: ModelVersion): void {
    const {model, version} = rollout;
    const monitor = this.resolveMonitor(rollout, baseline);
    if (this.isStopped(rollout)) return;
    if (this.isInGracePeriod(rollout)) {
      monitor.restart(this.evidence, performance.now());
      return;
    }
    const decision = monitor.decide(this.evidence, performance.now());
    if (decision.action !== 'stop') return;
    const {host} = this.options.member;
    this.options.onStop(
      this.rulings.stop({model, version}, host, decision.reason),
    );
  }

  // A changed rule gets a new monitor, which keeps the step that the rollout
  // has reached here or at a peer.
  private resolveMonitor(
    rollout: RolloutRule,
    baseline: ModelVersion,
  ): RolloutMonitor {
    const key = formatModelVersion(rollout);
    const {model, version, share: maxShare} = rollout;
    const known = this.activeRollouts.get(key);
    const isUnchanged =
      known?.maxShare === maxShare &&
      isSameModelVersion(known.baseline, baseline);
    if (known !== undefined && isUnchanged) return known.monitor;
    const nowMs = performance.now();
    const monitor = RolloutMonitor.create(
      {candidate: {model, version}, baseline, maxShare},
      nowMs,
    );
    const step = Math.max(
      known?.monitor.stepIndex ?? 0,
      this.peerSteps.get(key) ?? 0,
    );
    monitor.adoptStep(step, this.evidence, nowMs);
    if (this.rulings.find(rollout)?.state === 'allowed') {
      monitor.restart(this.evidence, nowMs);
    }
    this.activeRollouts.set(key, {monitor, maxShare, baseline});
    return monitor;
  }

  private applyAllowedRuling(ruling: Ruling): void {
    if (ruling.state !== 'allowed') return;
    this.allowedAtMs.set(formatModelVersion(ruling), performance.now());
    this.findMonitor(ruling)?.restart(this.evidence, performance.now());
  }

  // Ratings of answers from before the operator's ruling may arrive late; they
  // must not stop the version again.
  private isInGracePeriod(version: ModelVersion): boolean {
    const allowedAtMs = this.allowedAtMs.get(formatModelVersion(version));
    return (
      allowedAtMs !== undefined &&
      performance.now() - allowedAtMs < GRACE_PERIOD_MS
    );
  }

  private findMonitor(option: ModelVersion): RolloutMonitor | undefined {
    return this.activeRollouts.get(formatModelVersion(option))?.monitor;
  }
}

// Returns the version to compare the candidate with: the first one of the model
// that has no rollout, withdrawal or drain in the rules.
function findBaseline(
  rules: RuleSet,
  candidate: ModelVersion,
): ModelVersion | undefined {
  const isListed = (
    list: readonly ModelVersion[],
    version: ModelVersion,
  ): boolean => list.some(each => isSameModelVersion(each, version));
  return rules.models.find(
    version =>
      version.model === candidate.model &&
      version.version !== candidate.version &&
      !isListed(rules.rollouts, version) &&
      !isListed(rules.withdrawals, version) &&
      !isListed(rules.drains, version),
  );
}
