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

/** Maximum size of a rule file, in bytes of UTF-8. */
export const MAX_RULE_FILE_BYTES = 1024 * 1024;

/** Maximum number of findings that are reported for one file. */
export const MAX_FINDINGS = 1000;

/** The result of parsing a rule file. */
export interface ParsedRules {
  /** Undefined when at least one finding is an error. */
  readonly rules: RuleSet | undefined;
  /** Errors and warnings in the order of their positions. */
  readonly findings: readonly Finding[];
}

/**
 * Parses and checks a rule file, which has one rule per line. All findings of
 * the file are reported together. Rules with warnings are still returned.
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

/** Splits a file into lines, without a byte order mark and line terminators. */
export function splitLines(text: string): readonly string[] {
  return text.replace(/^\ufeff/, '').split(/\r?\n/);
}

/** Stops after the line that exceeds {@link MAX_FINDINGS}. */
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
  const lineFinding = checkLineText(text, lineNumber);
  if (lineFinding !== undefined) return [lineFinding];
  if (isIgnoredLine(text)) return [];
  const line = splitRuleLine(text, lineNumber);
  return [...line.findings, ...readRule(line, drafts)];
}

function readRule(line: RuleLine, drafts: RuleDrafts): readonly Finding[] {
  const handler = VERB_HANDLERS.get(line.verb);
  if (handler === undefined) return [createUnknownVerbFinding(line)];
  const reader = FieldReader.create(line);
  handler(reader, drafts);
  return reader.finish();
}

function createUnknownVerbFinding({verb, position}: RuleLine): Finding {
  const verbs = [...VERB_HANDLERS.keys()];
  return createError(
    position,
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
  const hasError = findings.some(({severity}) => severity === 'error');
  const createNotice = hasError ? createError : createWarning;
  return [...kept, createNotice(position, 'too_many_findings', message)];
}

function createRuleSet(drafts: RuleDrafts): RuleSet {
  return {
    models: extractRules(drafts.models),
    kinds: extractRules(drafts.kinds),
    services: extractRules(drafts.services),
    allows: extractRules(drafts.allows),
    targets: extractRules(drafts.targets),
    rollouts: extractRules(drafts.rollouts),
    withdrawals: extractRules(drafts.withdrawals),
    drains: extractRules(drafts.drains),
    limits: extractRules(drafts.limits),
    cascades: extractRules(drafts.cascades),
  };
}

function extractRules<T>(drafts: ReadonlyArray<Draft<T>>): readonly T[] {
  return drafts.map(({rule}) => rule);
}
