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
import type {RolloutController} from './rollout_controller.js';

/** Options of {@link createVersionRulingService}. */
export interface VersionRulingServiceOptions {
  readonly rollouts: RolloutController;
  /** Returns the rules in force; undefined while no rules are confirmed. */
  readonly readRules: () => RuleSet | undefined;
  /** Sends a ruling to the peers, the object API and the audit trail. */
  readonly publish: (ruling: Ruling) => Promise<void>;
}

/**
 * Creates the interface by which operators list model versions and rule on
 * them. An operator's ruling overrides the rollout test until the test has
 * newer evidence.
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
        return version === undefined
          ? []
          : [createVersionStatus(rollouts, version)];
      });
    },
    async rule(order: VersionRulingRequest) {
      const {model, version, state, who, why} = order;
      const ruling = rollouts.recordOperatorRuling(
        {model, version},
        state,
        who,
        why,
      );
      await publish(ruling);
      return createVersionStatus(rollouts, order);
    },
  };
}

function createVersionStatus(
  rollouts: RolloutController,
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
