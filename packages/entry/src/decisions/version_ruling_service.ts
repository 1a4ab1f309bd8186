import {
  ZERO_COUNTERS,
  formatModelVersion,
  parseModelVersion,
  type ModelVersion,
  type RuleSet,
  type Ruling,
} from '@anvilrudder/core';
import type {
  VersionRulingService,
  VersionRulingRequest,
  VersionStatus,
} from '../control/operators/index.js';
import type {RolloutWatch} from './rollout_watch.js';

/** Options of {@link createVersionRulingService}. */
export interface VersionRulingServiceOptions {
  readonly rollouts: RolloutWatch;
  /** Undefined while no rules are confirmed. */
  readonly readRules: () => RuleSet | undefined;
  /** Tells the peers, the object API and the audit trail. */
  readonly publish: (ruling: Ruling) => Promise<void>;
}

/**
 * Creates what operators may see and decide of model versions. A ruling of an
 * operator goes before that of the test, until the test has newer evidence.
 *
 * @example
 * ```ts
 * const versions = createVersionRulingService({rollouts, readRules, publish});
 * await versions.rule({model, version, state: 'allowed', who, why});
 * ```
 */
export function createVersionRulingService(
  options: VersionRulingServiceOptions,
): VersionRulingService {
  const {rollouts, readRules, publish} = options;
  return {
    list() {
      const names = new Set([
        ...(readRules()?.models ?? []).map(formatModelVersion),
        ...rollouts.rulings.list().map(formatModelVersion),
      ]);
      return [...names].flatMap(name => {
        const version = parseModelVersion(name);
        return version === undefined ? [] : [describe(rollouts, version)];
      });
    },
    async rule(order: VersionRulingRequest) {
      const {model, version, state, who, why} = order;
      const ruling = rollouts.overrule({model, version}, state, who, why);
      await publish(ruling);
      return describe(rollouts, order);
    },
  };
}

function describe(
  rollouts: RolloutWatch,
  {model, version}: ModelVersion,
): VersionStatus {
  const ruling = rollouts.rulings.find({model, version});
  const counters =
    rollouts.evidence.readTotals({model, version}) ?? ZERO_COUNTERS;
  const {count, sum} = counters.ratings;
  return {
    model,
    version,
    state: ruling?.state ?? 'open',
    decidedBy: ruling?.decidedBy ?? '',
    reason: ruling?.reason ?? '',
    term: ruling?.term ?? 0,
    requests: counters.requests,
    errors: counters.errors,
    ratings: count,
    meanRating: count === 0 ? 0 : sum / count,
  };
}
