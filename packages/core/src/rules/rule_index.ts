import {formatModelVersion} from '../types/identity.js';
import type {
  AllowRule,
  CascadeRule,
  KindRule,
  LimitRule,
  ModelRule,
  RolloutRule,
  RuleSet,
  ServiceRule,
  StopRule,
  TargetRule,
} from './rule_set.js';

/**
 * A model version with the rules that determine its share of new work. New work
 * means the requests that no session pins to a version.
 */
export interface IndexedVersion {
  readonly rule: ModelRule;
  readonly rollout: RolloutRule | undefined;
  readonly drain: StopRule | undefined;
  readonly withdrawal: StopRule | undefined;
}

/** A rule set indexed for the look-ups that each request needs. */
export interface RuleIndex {
  /** All versions, including withdrawn ones, in the order of the file. */
  readonly versions: readonly IndexedVersion[];
  readonly versionsByName: ReadonlyMap<string, IndexedVersion>;
  readonly kinds: ReadonlyMap<string, KindRule>;
  readonly services: ReadonlyMap<string, ServiceRule>;
  readonly allowsByOrganisation: ReadonlyMap<string, readonly AllowRule[]>;
  readonly targets: ReadonlyMap<string, ReadonlyMap<string, TargetRule>>;
  readonly limits: ReadonlyMap<string, LimitRule>;
  readonly cascades: ReadonlyMap<string, CascadeRule>;
}

const indexCache = new WeakMap<RuleSet, RuleIndex>();

/**
 * Returns the index of a rule set; the first call for a rule set
 * builds it.
 *
 * @example
 * ```ts
 * getRuleIndex(rules).kinds.get('icebreaker')?.deadlineMs;
 * ```
 */
export function getRuleIndex(rules: RuleSet): RuleIndex {
  const known = indexCache.get(rules);
  if (known !== undefined) return known;
  const index = createRuleIndex(rules);
  indexCache.set(rules, index);
  return index;
}

/** Builds the index of a rule set. */
export function createRuleIndex(rules: RuleSet): RuleIndex {
  const versions = indexVersions(rules);
  return {
    versions,
    versionsByName: keyBy(versions, ({rule}) => formatModelVersion(rule)),
    kinds: keyBy(rules.kinds, rule => rule.name),
    services: keyBy(rules.services, rule => rule.name),
    allowsByOrganisation: groupBy(rules.allows, rule => rule.organisation),
    targets: indexTargets(rules.targets),
    limits: keyBy(rules.limits, rule => rule.organisation),
    cascades: keyBy(rules.cascades, rule => rule.kind),
  };
}

/** Groups items by a key; each group keeps the order of its items. */
export function groupBy<T>(
  items: readonly T[],
  getKey: (item: T) => string,
): ReadonlyMap<string, readonly T[]> {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const key = getKey(item);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [item]);
    else group.push(item);
  }
  return groups;
}

function keyBy<T>(
  items: readonly T[],
  getKey: (item: T) => string,
): ReadonlyMap<string, T> {
  return new Map(items.map(item => [getKey(item), item]));
}

function indexVersions(rules: RuleSet): readonly IndexedVersion[] {
  const rollouts = keyBy(rules.rollouts, formatModelVersion);
  const drains = keyBy(rules.drains, formatModelVersion);
  const withdrawals = keyBy(rules.withdrawals, formatModelVersion);
  return rules.models.map(rule => {
    const name = formatModelVersion(rule);
    return {
      rule,
      rollout: rollouts.get(name),
      drain: drains.get(name),
      withdrawal: withdrawals.get(name),
    };
  });
}

function indexTargets(
  targets: readonly TargetRule[],
): ReadonlyMap<string, ReadonlyMap<string, TargetRule>> {
  const groups = groupBy(targets, rule => rule.organisation);
  return new Map(
    [...groups].map(([organisation, rules]) => [
      organisation,
      keyBy(rules, rule => rule.kind),
    ]),
  );
}
