import type {Finding, TextPosition} from '../errors/finding.js';
import {formatModelVersion} from '../types/identity.js';
import {formatPercent} from './format_percent.js';
import {ANY, quote} from './field_reader.js';
import {
  isDispatchAllowed,
  resolveKind,
  resolveOptions,
  type WorkScope,
} from './resolve_rules.js';
import {resolveShares} from './resolve_shares.js';
import {getRuleIndex, groupBy, type IndexedVersion} from './rule_index.js';
import {createWarning} from './rule_line.js';
import type {RuleSet} from './rule_set.js';

/** Bound on the pairs of organisation, kind and version that are compared. */
const MAX_COMPARISONS = 500_000;

const FILE_START: TextPosition = {line: 1, column: 1};

/**
 * Warns of effects of a change that are valid but seldom meant: sessions that
 * lose their version, models left without a version, organisations left
 * without a version that meets a quality target, and roll-outs that take over
 * a whole model.
 *
 * @returns warnings only; those about removed rules stand at the file's start.
 * @example
 * ```ts
 * const warnings = reviewChange(rulesInForce, offeredRules);
 * ```
 */
export function reviewChange(
  before: RuleSet,
  after: RuleSet,
): readonly Finding[] {
  const scopes = listScopes(after);
  const comparisons = Math.max(
    countComparisons(before),
    countComparisons(after),
  );
  const findings = [
    ...findRemovedVersions(before, after),
    ...findEmptiedModels(before, after),
    ...findTakeovers(before, after),
  ];
  if (comparisons > MAX_COMPARISONS) {
    return [...findings, createIncompleteWarning()];
  }
  return [
    ...findings,
    ...findLostSessions(before, after),
    ...scopes.flatMap(scope => findUnmetTarget(before, after, scope)),
  ];
}

function countComparisons(rules: RuleSet): number {
  const {allowsByOrganisation, kinds, versions} = getRuleIndex(rules);
  return allowsByOrganisation.size * kinds.size * versions.length;
}

function listScopes(rules: RuleSet): readonly WorkScope[] {
  const {allowsByOrganisation, kinds} = getRuleIndex(rules);
  return [...allowsByOrganisation.keys()].flatMap(organisation =>
    [...kinds.keys()].map(kind => ({organisation, kind})),
  );
}

function findRemovedVersions(
  before: RuleSet,
  after: RuleSet,
): readonly Finding[] {
  const {versionsByName} = getRuleIndex(after);
  return getRuleIndex(before)
    .versions.filter(({withdrawal}) => withdrawal === undefined)
    .filter(({rule}) => !versionsByName.has(formatModelVersion(rule)))
    .map(({rule}) =>
      createWarning(
        FILE_START,
        'version_removed',
        `the model rule of ${formatModelVersion(rule)} (line ${rule.source.line} before) is removed; sessions that hold the version end`,
        'drain the version first, then withdraw it',
      ),
    );
}

function findEmptiedModels(
  before: RuleSet,
  after: RuleSet,
): readonly Finding[] {
  const servedBefore = groupServed(before);
  const servedAfter = groupServed(after);
  const withdrawals = groupBy(after.withdrawals, rule => rule.model);
  return [...servedBefore.keys()]
    .filter(model => !servedAfter.has(model))
    .flatMap(model => withdrawals.get(model)?.at(-1) ?? [])
    .map(({model, source}) =>
      createWarning(
        {line: source.line, column: 1},
        'model_emptied',
        `the last version of model ${quote(model)} is withdrawn`,
        'add a version first',
      ),
    );
}

function groupServed(
  rules: RuleSet,
): ReadonlyMap<string, readonly IndexedVersion[]> {
  const served = getRuleIndex(rules).versions.filter(
    ({withdrawal}) => withdrawal === undefined,
  );
  return groupBy(served, ({rule}) => rule.model);
}

function findTakeovers(before: RuleSet, after: RuleSet): readonly Finding[] {
  const sharesBefore = listShares(before);
  const {versionsByName} = getRuleIndex(after);
  return [...listShares(after)].flatMap(([name, share]) => {
    const rollout = versionsByName.get(name)?.rollout;
    const isScaled = rollout !== undefined && share > rollout.share + 1e-9;
    if (!isScaled || share <= (sharesBefore.get(name) ?? 0) + 1e-9) return [];
    return createWarning(
      {line: rollout.source.line, column: 1},
      'rollout_scaled',
      `${name} gets ${formatPercent(share)} of the model's new work instead of ${formatPercent(rollout.share)}, as the other versions take none`,
      'leave a version without a rollout rule open',
    );
  });
}

function listShares(rules: RuleSet): ReadonlyMap<string, number> {
  const {versions} = getRuleIndex(rules);
  const shares = resolveShares(versions);
  return new Map(
    versions.map(({rule}, index) => [formatModelVersion(rule), shares[index]]),
  );
}

function findLostSessions(before: RuleSet, after: RuleSet): readonly Finding[] {
  const {kinds} = getRuleIndex(before);
  return listScopes(before)
    .filter(({kind}) => kinds.get(kind)?.issuesSession === true)
    .flatMap(scope => findLostSession(before, after, scope));
}

/** One warning for a scope, however many versions it loses. */
function findLostSession(
  before: RuleSet,
  after: RuleSet,
  scope: WorkScope,
): readonly Finding[] {
  const {organisation, kind} = scope;
  const {kinds, versionsByName} = getRuleIndex(after);
  for (const {model, version} of resolveOptions(before, scope)) {
    const name = formatModelVersion({model, version});
    const indexed = versionsByName.get(name);
    const isIntended =
      indexed === undefined || indexed.withdrawal !== undefined;
    if (isIntended) continue;
    if (isDispatchAllowed(after, {organisation, kind, model, version}))
      continue;
    const verb = kinds.has(kind) ? 'allow' : 'kind';
    return [createLostWarning(scope, name, verb)];
  }
  return [];
}

function createLostWarning(
  {organisation, kind}: WorkScope,
  name: string,
  verb: string,
): Finding {
  return createWarning(
    FILE_START,
    'session_rule_removed',
    `sessions of ${quote(organisation)} for ${quote(kind)} on ${name} lose the ${verb} rule they need`,
    'drain the version and remove the rule when its sessions have ended',
  );
}

function findUnmetTarget(
  before: RuleSet,
  after: RuleSet,
  scope: WorkScope,
): readonly Finding[] {
  if (meetsTarget(after, scope) !== false) return [];
  if (meetsTarget(before, scope) === false) return [];
  const {organisation, kind} = scope;
  const resolved = resolveKind(after, organisation, kind);
  const line = resolved?.sources.at(-1)?.line ?? FILE_START.line;
  return [
    createWarning(
      {line, column: 1},
      'target_unmet',
      `no version open to ${quote(organisation)} meets the quality target ${resolved?.qualityTarget} of ${quote(kind)}`,
      'allow a better version or lower the target',
    ),
  ];
}

/** Undefined when the organisation has no allow rule for the kind. */
function meetsTarget(rules: RuleSet, scope: WorkScope): boolean | undefined {
  const kind = resolveKind(rules, scope.organisation, scope.kind);
  if (kind === undefined) return undefined;
  const allows = getRuleIndex(rules).allowsByOrganisation.get(
    scope.organisation,
  );
  const isAllowed = allows?.some(
    allow => allow.kind === ANY || allow.kind === scope.kind,
  );
  if (isAllowed !== true) return undefined;
  return resolveOptions(rules, scope).some(
    ({share, quality}) => share > 0 && quality >= kind.qualityTarget,
  );
}

function createIncompleteWarning(): Finding {
  return createWarning(
    FILE_START,
    'review_incomplete',
    'the file is too large to compare what each organisation may use',
  );
}
