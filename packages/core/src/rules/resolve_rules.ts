import {formatModelVersion, type ModelVersion} from '../types/identity.js';
import {WILDCARD} from './field_reader.js';
import {resolveShares} from './resolve_shares.js';
import {getRuleIndex, type IndexedVersion} from './rule_index.js';
import type {
  AllowRule,
  CascadeRule,
  LimitRule,
  Priority,
  RuleSet,
  RuleSource,
  ServiceRule,
} from './rule_set.js';

/** The organisation and the kind of a request. */
export interface WorkScope {
  readonly organisation: string;
  readonly kind: string;
}

/** A call of a plain service by an organisation. */
export interface ServiceCall {
  readonly organisation: string;
  readonly service: string;
}

/** A model version that the rules allow for a kind of request. */
export interface VersionOption extends ModelVersion {
  readonly costPerMtok: number;
  /** Expected quality between 0 and 1, before there are any ratings. */
  readonly quality: number;
  /**
   * Share of the model's new work, between 0 and 1. The shares of a model add
   * up to 1 over the options of one organisation, or to 0 when every option is
   * drained or rolled out to 0%.
   */
  readonly share: number;
  /** True when only sessions that are pinned to the version may use it. */
  readonly isDrained: boolean;
  /** The rules that the option results from. */
  readonly sources: readonly RuleSource[];
}

/** The settings of a kind of request for one organisation. */
export interface ResolvedKind {
  readonly name: string;
  readonly qualityTarget: number;
  readonly deadlineMs: number;
  readonly priority: Priority;
  readonly issuesSession: boolean;
  readonly sources: readonly RuleSource[];
}

/**
 * Lists every model version that an organisation may use for a kind, in the
 * order of the file. Withdrawn versions are left out, drained ones have no
 * share of new work.
 *
 * @param pendingRules rules of a proposed change that is not decided yet.
 * Versions that they do not allow are left out, and versions that they drain
 * have no share.
 * @returns an empty list for an unknown kind or organisation.
 * @example
 * ```ts
 * const options = resolveOptions(rules, {
 *   organisation: 'hana-middle',
 *   kind: 'icebreaker',
 * });
 * ```
 */
export function resolveOptions(
  rules: RuleSet,
  scope: WorkScope,
  pendingRules?: RuleSet,
): readonly VersionOption[] {
  const index = getRuleIndex(rules);
  const allows = index.allowsByOrganisation.get(scope.organisation);
  if (allows === undefined || !index.kinds.has(scope.kind)) return [];
  const versions: IndexedVersion[] = [];
  const allowRules: AllowRule[] = [];
  for (const version of index.versions) {
    if (version.withdrawal !== undefined) continue;
    const allow = findAllow(allows, scope.kind, version.rule);
    if (allow === undefined) continue;
    const restricted = restrictVersion(version, scope, pendingRules);
    if (restricted === undefined) continue;
    versions.push(restricted);
    allowRules.push(allow);
  }
  const shares = resolveShares(versions);
  return versions.map((version, position) =>
    createOption(version, allowRules[position], shares[position]),
  );
}

/**
 * Returns true when a request may be sent to a version, whether or not it
 * belongs to a session. A withdrawal overrides all other rules and also the
 * version that a session is pinned to.
 *
 * @param pendingRules rules of a proposed change that is not decided yet; they
 * must allow the request too.
 * @example
 * ```ts
 * isDispatchAllowed(rules, {organisation, kind, model: 'quick', version: 'v2'});
 * ```
 */
export function isDispatchAllowed(
  rules: RuleSet,
  request: WorkScope & ModelVersion,
  pendingRules?: RuleSet,
): boolean {
  if (pendingRules !== undefined && !isDispatchAllowed(pendingRules, request)) {
    return false;
  }
  const index = getRuleIndex(rules);
  const version = index.versionsByName.get(formatModelVersion(request));
  if (version === undefined || version.withdrawal !== undefined) return false;
  if (!index.kinds.has(request.kind)) return false;
  const allows = index.allowsByOrganisation.get(request.organisation) ?? [];
  return findAllow(allows, request.kind, request) !== undefined;
}

/**
 * Returns true when the rules withdraw a version.
 *
 * @example
 * ```ts
 * isWithdrawn(rules, {model: 'quick', version: 'v2'});
 * ```
 */
export function isWithdrawn(rules: RuleSet, version: ModelVersion): boolean {
  const name = formatModelVersion(version);
  const indexed = getRuleIndex(rules).versionsByName.get(name);
  return indexed?.withdrawal !== undefined;
}

/**
 * Returns true when an organisation may call a plain service.
 *
 * @param pendingRules rules of a proposed change that is not decided yet; they
 * must allow the call too.
 * @example
 * ```ts
 * isServiceAllowed(rules, {organisation: 'hana-middle', service: 'booking'});
 * ```
 */
export function isServiceAllowed(
  rules: RuleSet,
  call: ServiceCall,
  pendingRules?: RuleSet,
): boolean {
  if (pendingRules !== undefined && !isServiceAllowed(pendingRules, call)) {
    return false;
  }
  const index = getRuleIndex(rules);
  if (!index.services.has(call.service)) return false;
  const allows = index.allowsByOrganisation.get(call.organisation) ?? [];
  return allows.some(allow => allow.service === call.service);
}

/**
 * Returns the settings of a kind, with the organisation's quality target if a
 * `target` rule sets one.
 *
 * @returns undefined for an unknown kind.
 * @example
 * ```ts
 * resolveKind(rules, 'hana-middle', 'icebreaker')?.qualityTarget;
 * ```
 */
export function resolveKind(
  rules: RuleSet,
  organisation: string,
  kind: string,
): ResolvedKind | undefined {
  const index = getRuleIndex(rules);
  const rule = index.kinds.get(kind);
  if (rule === undefined) return undefined;
  const target = index.targets.get(organisation)?.get(kind);
  const {source, ...settings} = rule;
  if (target === undefined) return {...settings, sources: [source]};
  return {
    ...settings,
    qualityTarget: target.qualityTarget,
    sources: [source, target.source],
  };
}

/**
 * Returns the rule of a plain service.
 *
 * @returns undefined for an unknown service.
 * @example
 * ```ts
 * resolveService(rules, 'booking')?.isIdempotent; // false
 * ```
 */
export function resolveService(
  rules: RuleSet,
  service: string,
): ServiceRule | undefined {
  return getRuleIndex(rules).services.get(service);
}

/**
 * Returns the limit rule of an organisation.
 *
 * @returns undefined when no rule limits it.
 * @example
 * ```ts
 * resolveLimit(rules, 'hana-middle')?.requestsPerS;
 * ```
 */
export function resolveLimit(
  rules: RuleSet,
  organisation: string,
): LimitRule | undefined {
  return getRuleIndex(rules).limits.get(organisation);
}

/**
 * Returns the cascade rule of a kind, whose models are tried cheapest first.
 *
 * @returns undefined when the kind has no cascade.
 * @example
 * ```ts
 * resolveCascade(rules, 'match-reason')?.models; // ['quick', 'deep']
 * ```
 */
export function resolveCascade(
  rules: RuleSet,
  kind: string,
): CascadeRule | undefined {
  return getRuleIndex(rules).cascades.get(kind);
}

function findAllow(
  allows: readonly AllowRule[],
  kind: string,
  {model, version}: ModelVersion,
): AllowRule | undefined {
  return allows.find(
    allow =>
      (allow.model === WILDCARD || allow.model === model) &&
      (allow.version === WILDCARD || allow.version === version) &&
      (allow.kind === WILDCARD || allow.kind === kind),
  );
}

/**
 * Applies the rules of a proposed change to a version. Returns undefined when
 * they do not allow it.
 */
function restrictVersion(
  version: IndexedVersion,
  {organisation, kind}: WorkScope,
  pendingRules: RuleSet | undefined,
): IndexedVersion | undefined {
  if (pendingRules === undefined) return version;
  const {model, version: versionName} = version.rule;
  const request = {organisation, kind, model, version: versionName};
  if (!isDispatchAllowed(pendingRules, request)) return undefined;
  const {versionsByName} = getRuleIndex(pendingRules);
  const pending = versionsByName.get(formatModelVersion(version.rule));
  return {...version, drain: version.drain ?? pending?.drain};
}

function createOption(
  {rule, rollout, drain}: IndexedVersion,
  allow: AllowRule,
  share: number,
): VersionOption {
  const sources = [rule.source, allow.source];
  if (rollout !== undefined) sources.push(rollout.source);
  if (drain !== undefined) sources.push(drain.source);
  return {
    model: rule.model,
    version: rule.version,
    costPerMtok: rule.costPerMtok,
    quality: rule.quality,
    share,
    isDrained: drain !== undefined,
    sources,
  };
}
