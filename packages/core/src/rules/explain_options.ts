import {formatModelVersion, type ModelVersion} from '../types/identity.js';
import {stripComment} from './rule_line.js';
import {splitLines} from './parse_rules.js';
import {
  resolveKind,
  resolveOptions,
  type VersionOption,
  type WorkScope,
} from './resolve_rules.js';
import {getRuleIndex, type IndexedVersion} from './rule_index.js';
import type {RuleSet, RuleSource} from './rule_set.js';

/** A rule as written in the file, with who asked for it and why. */
export interface ExplainedRule extends RuleSource {
  /** The text of the line without its comment. */
  readonly text: string;
}

/** A model version and how the rules apply to it. */
export interface ExplainedOption extends ModelVersion {
  readonly costPerMtok: number;
  readonly quality: number;
  readonly share: number;
  /** `chosen`, or the reason why the version gets no new work. */
  readonly verdict: string;
  readonly rules: readonly ExplainedRule[];
}

/** How the rules route one kind of request of one organisation. */
export interface Explanation {
  /** Undefined when no rule declares the kind. */
  readonly qualityTarget: number | undefined;
  readonly options: readonly ExplainedOption[];
}

/** Verdict of the versions that new work is sent to. */
export const CHOSEN = 'chosen';

/** The cheapest option that meets the quality target, if there is one. */
interface Choice {
  readonly qualityTarget: number;
  readonly chosen: VersionOption | undefined;
}

/**
 * Explains for each version of a rule file whether a kind of request is routed
 * to it. Only the rules and their expected qualities are considered; a running
 * entry also considers ratings and load.
 *
 * @param text contents of the file that the rules were parsed from.
 * @example
 * ```ts
 * explainOptions(rules, text, {organisation: 'hana-middle', kind: 'icebreaker'});
 * ```
 */
export function explainOptions(
  rules: RuleSet,
  text: string,
  scope: WorkScope,
): Explanation {
  const kind = resolveKind(rules, scope.organisation, scope.kind);
  const options = resolveOptions(rules, scope);
  const qualityTarget = kind?.qualityTarget ?? 0;
  const choice = {qualityTarget, chosen: chooseOption(options, qualityTarget)};
  const byName = new Map(options.map(o => [formatModelVersion(o), o]));
  const lines = splitLines(text);
  const explained = getRuleIndex(rules).versions.map(version =>
    explainVersion(
      version,
      byName.get(formatModelVersion(version.rule)),
      choice,
      lines,
    ),
  );
  return {qualityTarget: kind?.qualityTarget, options: explained};
}

/** Returns the cheapest option that gets new work and meets the target. */
function chooseOption(
  options: readonly VersionOption[],
  qualityTarget: number,
): VersionOption | undefined {
  const eligible = options.filter(
    ({share, quality}) => share > 0 && quality >= qualityTarget,
  );
  return eligible.sort((a, b) => a.costPerMtok - b.costPerMtok)[0];
}

function explainVersion(
  version: IndexedVersion,
  option: VersionOption | undefined,
  choice: Choice,
  lines: readonly string[],
): ExplainedOption {
  const {rule, withdrawal} = version;
  const sources = option?.sources ?? [
    rule.source,
    ...(withdrawal === undefined ? [] : [withdrawal.source]),
  ];
  return {
    model: rule.model,
    version: rule.version,
    costPerMtok: rule.costPerMtok,
    quality: rule.quality,
    share: option?.share ?? 0,
    verdict: determineVerdict(version, option, choice),
    rules: sources.map(source => ({
      ...source,
      text: stripComment(lines[source.line - 1] ?? ''),
    })),
  };
}

function determineVerdict(
  {withdrawal}: IndexedVersion,
  option: VersionOption | undefined,
  {qualityTarget, chosen}: Choice,
): string {
  if (withdrawal !== undefined) return 'withdrawn';
  if (option === undefined) return 'not allowed';
  if (option.isDrained) return 'drained, sessions only';
  if (option.share === 0) return 'rolled out to 0% of new work';
  if (option.quality < qualityTarget) {
    return `quality below the target ${qualityTarget}`;
  }
  return option.model === chosen?.model
    ? CHOSEN
    : `costs more than ${chosen?.model}`;
}
