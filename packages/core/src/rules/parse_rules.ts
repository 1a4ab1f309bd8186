import type {Finding} from '../errors/finding.js';
import {checkDrafts} from './check_drafts.js';
import {FieldReader, quote} from './field_reader.js';
import {
  checkLineText,
  createError,
  createWarning,
  isIgnoredLine,
  splitRuleLine,
  type RuleLine,
} from './rule_line.js';
import type {RuleSet} from './rule_set.js';
import {suggestWord} from './suggest.js';
import {
  createDrafts,
  VERB_HANDLERS,
  type Draft,
  type RuleDrafts,
} from './verbs.js';

/** Largest rule file, in bytes of UTF-8. */
export const MAX_RULE_FILE_BYTES = 1024 * 1024;

/** Most findings that are reported for one file. */
export const MAX_FINDINGS = 1000;

/** The outcome of reading a rule file. */
export interface ParsedRules {
  /** Undefined when a finding is an error. */
  readonly rules: RuleSet | undefined;
  /** All errors and warnings in the order of their places. */
  readonly findings: readonly Finding[];
}

/**
 * Reads and checks a rule file, one rule a line. All faults of the file are
 * reported together; warnings do not stop the rules from being returned.
 *
 * @example
 * ```ts
 * const {rules, findings} = parseRules(
 *   'model name=quick version=v1 cost-per-mtok=0.2 quality=0.7 # Kim: base',
 * );
 * ```
 */
export function parseRules(text: string): ParsedRules {
  if (Buffer.byteLength(text) > MAX_RULE_FILE_BYTES) {
    return {rules: undefined, findings: [createSizeFinding()]};
  }
  const drafts = createDrafts();
  const lineFindings = readLines(text, drafts);
  if (lineFindings.length > MAX_FINDINGS) {
    return {rules: undefined, findings: limitFindings(lineFindings)};
  }
  const findings = [...lineFindings, ...checkDrafts(drafts)];
  const hasError = findings.some(finding => finding.severity === 'error');
  return {
    rules: hasError ? undefined : createRuleSet(drafts),
    findings: limitFindings(sortFindings(findings)),
  };
}

/** Splits a file into lines without their line ends. */
export function splitLines(text: string): readonly string[] {
  return text.replace(/^\ufeff/, '').split(/\r?\n/);
}

/** Stops at the line that exceeds the most findings. */
function readLines(text: string, drafts: RuleDrafts): readonly Finding[] {
  const findings: Finding[] = [];
  for (const [index, line] of splitLines(text).entries()) {
    findings.push(...readLine(line, index + 1, drafts));
    if (findings.length > MAX_FINDINGS) break;
  }
  return findings;
}

function readLine(
  text: string,
  lineNumber: number,
  drafts: RuleDrafts,
): readonly Finding[] {
  const fault = checkLineText(text, lineNumber);
  if (fault !== undefined) return [fault];
  if (isIgnoredLine(text)) return [];
  const line = splitRuleLine(text, lineNumber);
  return [...line.findings, ...readRule(line, drafts)];
}

function readRule(line: RuleLine, drafts: RuleDrafts): readonly Finding[] {
  const handler = VERB_HANDLERS.get(line.verb);
  if (handler === undefined) return [createVerbFinding(line)];
  const reader = FieldReader.create(line);
  handler(reader, drafts);
  return reader.finish();
}

function createVerbFinding({verb, place}: RuleLine): Finding {
  const verbs = [...VERB_HANDLERS.keys()];
  return createError(
    place,
    'unknown_verb',
    `unknown verb ${quote(verb)}`,
    suggestWord(verb, verbs) ?? `known verbs: ${verbs.join(', ')}`,
  );
}

function createSizeFinding(): Finding {
  return createError(
    {line: 1, column: 1},
    'file_too_large',
    `the file is larger than ${MAX_RULE_FILE_BYTES} bytes`,
  );
}

function sortFindings(findings: readonly Finding[]): readonly Finding[] {
  return [...findings].sort(
    (a, b) =>
      a.position.line - b.position.line ||
      a.position.column - b.position.column,
  );
}

function limitFindings(findings: readonly Finding[]): readonly Finding[] {
  if (findings.length <= MAX_FINDINGS) return findings;
  const kept = findings.slice(0, MAX_FINDINGS);
  const {position: position} = findings[MAX_FINDINGS];
  const message = `the file has more than ${MAX_FINDINGS} findings; the rest is not shown`;
  const isRefused = findings.some(({severity}) => severity === 'error');
  const createNotice = isRefused ? createError : createWarning;
  return [...kept, createNotice(position, 'too_many_findings', message)];
}

function createRuleSet(drafts: RuleDrafts): RuleSet {
  return {
    models: takeRules(drafts.models),
    kinds: takeRules(drafts.kinds),
    services: takeRules(drafts.services),
    allows: takeRules(drafts.allows),
    targets: takeRules(drafts.targets),
    rollouts: takeRules(drafts.rollouts),
    withdrawals: takeRules(drafts.withdrawals),
    drains: takeRules(drafts.drains),
    limits: takeRules(drafts.limits),
    cascades: takeRules(drafts.cascades),
  };
}

function takeRules<T>(drafts: ReadonlyArray<Draft<T>>): readonly T[] {
  return drafts.map(({rule}) => rule);
}
