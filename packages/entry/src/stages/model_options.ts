import {
  isSameModelVersion,
  resolveOptions,
  type ModelOption,
  type RuleSet,
  type VersionOption,
  type WorkScope,
} from '@anvilrudder/core';
import type {RulesInForce} from '../control/rules_manager.js';

type OptionsByScope = Map<string, readonly ModelOption[]>;

const OPTIONS_BY_RULES = new WeakMap<RulesInForce, OptionsByScope>();

/**
 * Lists the model options of an organisation and kind; while a change is
 * undecided, only those that both revisions allow. Returns the same array for
 * the same rules, so that the chooser can cache what it derives from it.
 *
 * @example
 * ```ts
 * resolveModelOptions(inForce, {organisation: 'school-a', kind: 'icebreaker'});
 * ```
 */
export function resolveModelOptions(
  inForce: RulesInForce,
  scope: WorkScope,
): readonly ModelOption[] {
  let byScope = OPTIONS_BY_RULES.get(inForce);
  if (byScope === undefined) {
    byScope = new Map();
    OPTIONS_BY_RULES.set(inForce, byScope);
  }
  const key = `${scope.organisation}/${scope.kind}`;
  let options = byScope.get(key);
  if (options === undefined) {
    options = createOptions(inForce, scope);
    byScope.set(key, options);
  }
  return options;
}

function createOptions(
  {rules, pendingRules}: RulesInForce,
  {organisation, kind}: WorkScope,
): readonly ModelOption[] {
  const options = resolveOptions(rules, {organisation, kind}, pendingRules);
  return options.map(option => ({
    model: option.model,
    version: option.version,
    costPerMtok: option.costPerMtok,
    quality: option.quality,
    share: resolveChooserShare(rules, option),
    sourceLine: option.sources[0]?.line ?? 0,
  }));
}

// A version in rollout has the share of its rule. Each other version of the
// model has a share of 1, so that it can take the rest of the work, including
// that of a candidate that is unavailable. A drained version has none.
function resolveChooserShare(rules: RuleSet, option: VersionOption): number {
  const isInRollout = rules.rollouts.some(rule =>
    isSameModelVersion(rule, option),
  );
  if (isInRollout) return option.share;
  return option.isDrained ? 0 : 1;
}
