import type {Finding, TextPosition} from '../errors/finding.js';
import {formatModelVersion, type ModelVersion} from '../types/identity.js';
import {formatPercent} from './format_percent.js';
import {ANY, quote, type FieldReader} from './field_reader.js';
import {createError, createWarning} from './rule_line.js';
import {groupBy} from './rule_index.js';
import type {ModelRule} from './rule_set.js';
import {suggestWord} from './suggest.js';
import type {Draft, RuleDrafts} from './verbs.js';

/** Findings that get a hint by spelling; the search is slow on large files. */
const MAX_SPELLING_HINTS = 50;

/** Tolerance for sums of shares written with decimals. */
const SHARE_TOLERANCE = 1e-9;

/**
 * Checks the rules of a file against each other: duplicates, names that no
 * line declares, and shares that exceed a whole.
 */
export function checkDrafts(drafts: RuleDrafts): readonly Finding[] {
  return DraftChecker.create(drafts).check();
}

class DraftChecker {
  private readonly findings: Finding[] = [];
  private spellingHintCount = 0;
  private readonly models: ReadonlyMap<string, readonly ModelRule[]>;
  private readonly versions: ReadonlySet<string>;
  private readonly lowestCosts: ReadonlyMap<string, number>;
  private readonly versionNames: ReadonlySet<string>;
  private readonly kinds: ReadonlySet<string>;
  private readonly services: ReadonlySet<string>;
  private readonly organisations: ReadonlySet<string>;

  private constructor(private readonly drafts: RuleDrafts) {
    const models = drafts.models.map(({rule}) => rule);
    this.models = groupBy(models, rule => rule.model);
    this.versions = new Set(models.map(formatModelVersion));
    this.lowestCosts = findLowestCosts(models);
    this.versionNames = new Set(models.map(rule => rule.version));
    this.kinds = new Set(drafts.kinds.map(({rule}) => rule.name));
    this.services = new Set(drafts.services.map(({rule}) => rule.name));
    this.organisations = new Set(
      drafts.allows.map(({rule}) => rule.organisation),
    );
  }

  static create(drafts: RuleDrafts): DraftChecker {
    return new DraftChecker(drafts);
  }

  check(): readonly Finding[] {
    this.checkDuplicates();
    this.checkAllows();
    this.checkOrganisations();
    this.checkVersions();
    this.checkCascades();
    this.checkShares();
    this.checkIdleRules();
    return this.findings;
  }

  private checkDuplicates(): void {
    const {drafts} = this;
    this.findDuplicates(drafts.models, 'name', formatModelVersion);
    this.findDuplicates(drafts.kinds, 'name', rule => rule.name);
    this.findDuplicates(drafts.services, 'name', rule => rule.name);
    this.findDuplicates(drafts.allows, 'organisation', rule =>
      [
        rule.organisation,
        rule.model,
        rule.version,
        rule.kind,
        rule.service,
      ].join('|'),
    );
    this.findDuplicates(drafts.targets, 'kind', rule =>
      [rule.organisation, rule.kind].join('|'),
    );
    this.findDuplicates(drafts.rollouts, 'model', formatModelVersion);
    this.findDuplicates(drafts.withdrawals, 'model', formatModelVersion);
    this.findDuplicates(drafts.drains, 'model', formatModelVersion);
    this.findDuplicates(
      drafts.limits,
      'organisation',
      rule => rule.organisation,
    );
    this.findDuplicates(drafts.cascades, 'kind', rule => rule.kind);
  }

  private findDuplicates<T extends {readonly source: {readonly line: number}}>(
    drafts: ReadonlyArray<Draft<T>>,
    key: string,
    identify: (rule: T) => string,
  ): void {
    const lines = new Map<string, number>();
    for (const {rule, reader} of drafts) {
      if (reader.isFaulty) continue;
      const id = identify(rule);
      const line = lines.get(id);
      if (line === undefined) {
        lines.set(id, rule.source.line);
        continue;
      }
      this.findings.push(
        createError(
          reader.placeOf(key),
          'duplicate_rule',
          `line ${line} already holds this rule`,
          'keep one of the two',
        ),
      );
    }
  }

  private checkAllows(): void {
    for (const {rule, reader} of this.drafts.allows) {
      this.checkName(reader, 'service', rule.service, this.services);
      this.checkName(reader, 'kind', rule.kind, this.kinds);
      if (rule.model === ANY) {
        this.checkName(reader, 'version', rule.version, this.versionNames);
        continue;
      }
      const {model = '', version = ''} = rule;
      this.checkVersion(reader, {model, version});
    }
  }

  private checkOrganisations(): void {
    for (const {rule, reader} of this.drafts.targets) {
      this.checkName(reader, 'kind', rule.kind, this.kinds);
      this.checkOrganisation(reader, rule.organisation);
    }
    for (const {rule, reader} of this.drafts.limits) {
      this.checkOrganisation(reader, rule.organisation);
    }
  }

  private checkOrganisation(reader: FieldReader, organisation: string): void {
    this.checkName(reader, 'organisation', organisation, this.organisations);
  }

  private checkVersions(): void {
    const {rollouts, withdrawals, drains} = this.drafts;
    for (const {rule, reader} of [...rollouts, ...withdrawals, ...drains]) {
      this.checkVersion(reader, rule);
    }
  }

  private checkVersion(reader: FieldReader, {model, version}: ModelVersion) {
    this.checkName(reader, 'model', model, this.models);
    const rules = this.models.get(model);
    if (rules === undefined || version === ANY || version === '') return;
    if (this.versions.has(formatModelVersion({model, version}))) return;
    const known = rules.map(rule => rule.version);
    this.reportUnknown(reader.placeOf('version'), 'version', version, known);
  }

  private checkCascades(): void {
    for (const {rule, reader} of this.drafts.cascades) {
      this.checkName(reader, 'kind', rule.kind, this.kinds);
      for (const model of new Set(rule.models)) {
        this.checkName(reader, 'models', model, this.models);
      }
      this.checkCascadeOrder(reader, rule.models);
    }
  }

  private checkCascadeOrder(
    reader: FieldReader,
    models: readonly string[],
  ): void {
    const place = reader.placeOf('models');
    if (new Set(models).size < models.length) {
      this.findings.push(
        createError(place, 'duplicate_model', 'a model stands twice'),
      );
      return;
    }
    if (!models.every(model => this.models.has(model))) return;
    const costs = models.map(model => this.lowestCosts.get(model) ?? 0);
    const isAscending = costs.every(
      (cost, index) => index === 0 || cost >= costs[index - 1],
    );
    if (isAscending) return;
    this.findings.push(
      createWarning(
        place,
        'cascade_order',
        'a model of the cascade costs less than the one before it',
        'list the cheapest model first',
      ),
    );
  }

  private checkShares(): void {
    const totals = new Map<string, number>();
    for (const {rule, reader} of this.drafts.rollouts) {
      const before = totals.get(rule.model) ?? 0;
      const total = before + rule.share;
      totals.set(rule.model, total);
      const isFirstOver =
        total > 1 + SHARE_TOLERANCE && before <= 1 + SHARE_TOLERANCE;
      if (!isFirstOver || reader.isFaulty) continue;
      this.findings.push(
        createError(
          reader.placeOf('share'),
          'shares_over_one',
          `the shares of model ${quote(rule.model)} add up to more than 100%`,
          `at most ${formatPercent(1 - before)} is left`,
        ),
      );
    }
  }

  private checkIdleRules(): void {
    const withdrawn = new Set(
      this.drafts.withdrawals.map(({rule}) => formatModelVersion(rule)),
    );
    const {rollouts, drains} = this.drafts;
    for (const {rule, reader} of [...rollouts, ...drains]) {
      if (reader.isFaulty || !withdrawn.has(formatModelVersion(rule))) continue;
      this.findings.push(
        createWarning(
          reader.placeOf('version'),
          'idle_rule',
          'the version is withdrawn, so this rule has no effect',
          'remove the rule',
        ),
      );
    }
  }

  private checkName(
    reader: FieldReader,
    key: string,
    value: string | undefined,
    known: NameLookup,
  ): void {
    const isUnchecked = value === undefined || value === '' || value === ANY;
    if (isUnchecked || known.has(value)) return;
    this.reportUnknown(reader.placeOf(key), key, value, known.keys());
  }

  private reportUnknown(
    place: TextPosition,
    key: string,
    value: string,
    known: Iterable<string>,
  ): void {
    const noun = key === 'models' ? 'model' : key;
    this.findings.push(
      createError(
        place,
        `unknown_${noun}`,
        `no rule declares the ${noun} ${quote(value)}`,
        this.suggestName(value, known) ?? DECLARATION_HINTS.get(noun),
      ),
    );
  }

  private suggestName(
    value: string,
    known: Iterable<string>,
  ): string | undefined {
    if (this.spellingHintCount >= MAX_SPELLING_HINTS) return undefined;
    this.spellingHintCount += 1;
    return suggestWord(value, known);
  }
}

/** The part that sets and maps of names share. */
interface NameLookup {
  has(name: string): boolean;
  keys(): Iterable<string>;
}

const DECLARATION_HINTS: ReadonlyMap<string, string> = new Map([
  ['model', 'add a "model" rule'],
  ['version', 'add a "model" rule with this version'],
  ['kind', 'add a "kind" rule'],
  ['service', 'add a "service" rule'],
  ['organisation', 'an organisation needs an "allow" rule'],
]);

function findLowestCosts(
  models: readonly ModelRule[],
): ReadonlyMap<string, number> {
  const costs = new Map<string, number>();
  for (const {model, costPerMtok} of models) {
    costs.set(model, Math.min(costPerMtok, costs.get(model) ?? costPerMtok));
  }
  return costs;
}
