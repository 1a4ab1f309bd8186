import {
  EvidenceLedger,
  RolloutMonitor,
  RulingLedger,
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

/** Options of {@link RolloutWatch}. */
export interface RolloutWatchOptions {
  readonly member: MemberId;
  /**
   * True when shares grow on evidence up to what the rules allow; false when
   * the rules' shares hold from the start.
   */
  readonly rampsOnEvidence: boolean;
  /** Called when this entry's test stops a version. */
  readonly onStop: (ruling: Ruling) => void;
}

interface LimitedOptions {
  readonly key: string;
  readonly options: readonly ModelOption[];
}

/** Follows the roll-outs of the rules in force and stops bad versions. */
export class RolloutWatch {
  readonly evidence: EvidenceLedger;
  readonly rulings = RulingLedger.create();
  private readonly monitors = new Map<string, RolloutMonitor>();
  private readonly limitedOptions = new WeakMap<
    readonly ModelOption[],
    LimitedOptions
  >();

  private constructor(private readonly options: RolloutWatchOptions) {
    this.evidence = EvidenceLedger.create(options.member);
  }

  /**
   * @example
   * ```ts
   * const watch = RolloutWatch.create({member, rampsOnEvidence: true, onStop});
   * watch.tick(rules);
   * ```
   */
  static create(options: RolloutWatchOptions): RolloutWatch {
    return new RolloutWatch(options);
  }

  /** Adds what this entry saw of a version. */
  record(version: ModelVersion, sample: EvidenceSample): void {
    this.evidence.record(version, sample);
  }

  isStopped(version: ModelVersion): boolean {
    return this.rulings.isStopped(version);
  }

  /** Takes in a ruling of a peer or the object API; true when it is new. */
  mergeRuling(ruling: Ruling): boolean {
    const isNew = this.rulings.merge(ruling);
    if (isNew) this.restartAllowed(ruling);
    return isNew;
  }

  /** Rules by an operator, over any ruling known so far. */
  overrule(
    version: ModelVersion,
    state: Ruling['state'],
    operator: string,
    reason: string,
  ): Ruling {
    const ruling = this.rulings.overrule(version, state, operator, reason);
    this.restartAllowed(ruling);
    return ruling;
  }

  /** Decides anew on each roll-out of the rules. */
  tick(rules: RuleSet): void {
    const seen = new Set<string>();
    for (const rollout of rules.rollouts) {
      const baseline = findBaseline(rules, rollout);
      if (rollout.share === 0 || baseline === undefined) continue;
      seen.add(formatModelVersion(rollout));
      this.decide(rollout, baseline);
    }
    for (const key of this.monitors.keys()) {
      if (!seen.has(key)) this.monitors.delete(key);
    }
  }

  /**
   * Holds versions in roll-out to their present share; the other versions of
   * the model take what is left, and nothing once a roll-out has it all. The
   * same shares give the same array.
   */
  limitShares(
    options: readonly ModelOption[],
    rollouts: readonly RolloutRule[],
  ): readonly ModelOption[] {
    if (rollouts.length === 0) return options;
    const shares = this.resolveShares(options, rollouts);
    const key = shares.join();
    const cached = this.limitedOptions.get(options);
    if (cached?.key === key) return cached.options;
    const limited = options.map((option, index) => ({
      ...option,
      share: shares[index],
    }));
    this.limitedOptions.set(options, {key, options: limited});
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
    const takenByModel = new Map<string, number>();
    for (const [index, {model}] of options.entries()) {
      const taken = takenByModel.get(model) ?? 0;
      takenByModel.set(model, taken + (rolloutShares[index] ?? 0));
    }
    return options.map(({model, share}, index) => {
      const isTaken = (takenByModel.get(model) ?? 0) >= 1;
      return rolloutShares[index] ?? (isTaken ? 0 : share);
    });
  }

  private resolveRolloutShare(option: ModelOption): number {
    const monitor = this.options.rampsOnEvidence
      ? this.findMonitor(option)
      : undefined;
    return Math.min(option.share, monitor?.share ?? 1);
  }

  private decide(rollout: RolloutRule, baseline: ModelVersion): void {
    const key = formatModelVersion(rollout);
    const {model, version, share} = rollout;
    const nowMs = performance.now();
    let monitor = this.monitors.get(key);
    if (monitor === undefined) {
      monitor = RolloutMonitor.create(
        {candidate: {model, version}, baseline, maxShare: share},
        nowMs,
      );
      this.monitors.set(key, monitor);
    }
    if (this.isStopped(rollout)) return;
    const decision = monitor.decide(this.evidence, nowMs);
    if (decision.action !== 'stop') return;
    const {host} = this.options.member;
    this.options.onStop(
      this.rulings.stop({model, version}, host, decision.reason),
    );
  }

  // The evidence that stopped a version must not stop it again at once.
  private restartAllowed(ruling: Ruling): void {
    if (ruling.state !== 'allowed') return;
    const monitor = this.monitors.get(formatModelVersion(ruling));
    monitor?.restart(this.evidence, performance.now());
  }

  private findMonitor(option: ModelVersion): RolloutMonitor | undefined {
    return this.monitors.get(formatModelVersion(option));
  }
}

// The version that the rules keep for the model's other work.
function findBaseline(
  rules: RuleSet,
  candidate: ModelVersion,
): ModelVersion | undefined {
  const isNamed = (
    list: readonly ModelVersion[],
    version: ModelVersion,
  ): boolean => list.some(each => isSameModelVersion(each, version));
  return rules.models.find(
    version =>
      version.model === candidate.model &&
      version.version !== candidate.version &&
      !isNamed(rules.rollouts, version) &&
      !isNamed(rules.withdrawals, version) &&
      !isNamed(rules.drains, version),
  );
}
