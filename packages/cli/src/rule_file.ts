import {
  formatFinding,
  parseRules,
  type Finding,
  type RuleSet,
} from '@anvilrudder/core';
import {CliError} from './cli_error.js';
import type {CliIo} from './cli_io.js';
import {EXIT_CODES} from './exit_codes.js';

/** A rule file as read by the command line. */
export interface RuleFile {
  readonly path: string;
  /** The whole file. */
  readonly text: string;
  /** The text without the revision line. */
  readonly content: string;
  /** Lines of the file before its content: 1 for a revision line, else 0. */
  readonly lineOffset: number;
  /** From the first line, as `rules show` writes it. */
  readonly baseRevision: bigint | undefined;
  /** Undefined when a finding is an error. */
  readonly rules: RuleSet | undefined;
  readonly findings: readonly Finding[];
}

/** Comment on the first line that names the revision a file was read at. */
const REVISION_LINE = /^# revision (\d{1,15})\r?\n/;

/**
 * Reads and checks a rule file. A first line `# revision N` is not part of
 * the rules, yet counts in the lines of findings.
 *
 * @throws CliError when the file can't be read.
 */
export async function readRuleFile(path: string, io: CliIo): Promise<RuleFile> {
  const text = await readText(path, io);
  const revisionLine = REVISION_LINE.exec(text);
  const {rules, findings} = parseRules(text);
  return {
    path,
    text,
    content: text.slice(revisionLine?.[0].length ?? 0),
    lineOffset: revisionLine === null ? 0 : 1,
    baseRevision: revisionLine === null ? undefined : BigInt(revisionLine[1]),
    rules,
    findings,
  };
}

/** Writes the line that {@link readRuleFile} reads. */
export function formatRevisionLine(revision: bigint): string {
  return `# revision ${revision}\n`;
}

/** Formats findings one a line, with a line of totals when there are any. */
export function formatFindings(
  path: string,
  findings: readonly Finding[],
): string {
  if (findings.length === 0) return '';
  const lines = findings.map(finding => formatFinding(path, finding));
  const errorCount = findings.filter(f => f.severity === 'error').length;
  const warningCount = findings.length - errorCount;
  const totals = `${errorCount} errors, ${warningCount} warnings`;
  return [...lines, totals, ''].join('\n');
}

/** A finding in the form of JSON output. */
export interface FindingJson {
  readonly line: number;
  readonly column: number;
  readonly severity: string;
  readonly code: string;
  readonly message: string;
  readonly hint?: string;
}

/** Turns a finding into the form of JSON output. */
export function toFindingJson({
  position: place,
  ...finding
}: Finding): FindingJson {
  return {...place, ...finding};
}

async function readText(path: string, io: CliIo): Promise<string> {
  try {
    return await io.readFile(path);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw CliError.create(`can't read ${path}: ${reason}`, EXIT_CODES.usage);
  }
}
