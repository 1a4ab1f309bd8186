import {parseRules, reviewChange, type Finding} from '@anvilrudder/core';
import type {CliIo} from '../cli_io.js';
import {compareLines, type LineChange} from '../compare_lines.js';
import {callFirst, type EntryClient} from '../entry_client.js';
import {EXIT_CODES, type ExitCode} from '../exit_codes.js';
import {
  formatFindings,
  readRuleFile,
  toFindingJson,
  type RuleFile,
} from '../rule_file.js';

/** Options of `rules diff`. */
export interface RulesDiffOptions {
  readonly file: string;
  readonly isJson: boolean;
}

/**
 * Prints the differences of a file from the rules in force, and its findings.
 */
export async function runRulesDiff(
  options: RulesDiffOptions,
  entries: readonly EntryClient[],
  io: CliIo,
): Promise<ExitCode> {
  const file = await readRuleFile(options.file, io);
  const {revision, content} = await callFirst(entries, ({control}) =>
    control.getRules({}),
  );
  const changes = compareLines(content, file.content).map(change =>
    numberInFile(change, file),
  );
  const findings = [...file.findings, ...reviewFile(content, file)];
  if (options.isJson) {
    const report = {
      revision: Number(revision),
      changes,
      findings: findings.map(toFindingJson),
    };
    io.writeOutput(`${JSON.stringify(report)}\n`);
  } else {
    io.writeOutput(`compared with revision ${revision}\n`);
    io.writeOutput(changes.map(formatChange).join(''));
    io.writeOutput(formatFindings(file.path, findings));
  }
  return file.rules === undefined ? EXIT_CODES.refused : EXIT_CODES.ok;
}

/** Returns warnings about replacing the rules in force by a file. */
export function reviewFile(
  contentInForce: string,
  {rules}: RuleFile,
): readonly Finding[] {
  const {rules: rulesInForce} = parseRules(contentInForce);
  const isComparable = rulesInForce !== undefined && rules !== undefined;
  return isComparable ? reviewChange(rulesInForce, rules) : [];
}

/**
 * Numbers added lines as in the file. Removed lines keep their numbers in the
 * rules in force.
 */
function numberInFile(change: LineChange, {lineOffset}: RuleFile): LineChange {
  const {sign, lineNumber} = change;
  return sign === '+'
    ? {...change, lineNumber: lineNumber + lineOffset}
    : change;
}

function formatChange({sign, lineNumber, text}: LineChange): string {
  return `${sign}${lineNumber}: ${text}\n`;
}
