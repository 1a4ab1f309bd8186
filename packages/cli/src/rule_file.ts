import {
  formatFinding,
  parseRules,
  type Finding,
  type RuleSet,
} from '@anvilrudder/core';
import {CliError} from './cli_error.js';
import type {CliIo} from './cli_io.js';
import {EXIT_CODES} from './exit_codes.js';

/** A rule file that was read and checked. */
export interface RuleFile {
  readonly path: string;
  /** The whole file. */
  readonly text: string;
  /** The text without the revision line. */
  readonly content: string;
  /**
   * Number of lines before the content: 1 if there is a revision line, else 0.
   */
  readonly lineOffset: number;
  /** The revision in the revision line, which `rules show` writes. */
  readonly baseRevision: bigint | undefined;
  /** Undefined if any finding is an error. */
  readonly rules: RuleSet | undefined;
  readonly findings: readonly Finding[];
}

/** First line of a file, stating the revision that the file was read at. */
const REVISION_LINE_PATTERN = /^# revision (\d{1,15})\r?\n/;

/**
 * Reads and checks a rule file. A first line `# revision N` is not part of the
 * content, but is counted in the line numbers of findings.
 *
 * @throws CliError when the file cannot be read.
 */
export async function readRuleFile(path: string, io: CliIo): Promise<RuleFile> {
  const text = await readText(path, io);
  const revisionLine = REVISION_LINE_PATTERN.exec(text);
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

/** Formats the revision line that {@link readRuleFile} parses. */
export function formatRevisionLine(revision: bigint): string {
  return `# revision ${revision}\n`;
}

/**
 * Formats findings one per line, followed by a line of totals if there are any.
 */
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

/** A finding, as it is printed as JSON. */
export interface FindingJson {
  readonly line: number;
  readonly column: number;
  readonly severity: string;
  readonly code: string;
  readonly message: string;
  readonly hint?: string;
}

/** Converts a finding to the form that is printed as JSON. */
export function toFindingJson({
  position: location,
  ...finding
}: Finding): FindingJson {
  return {...location, ...finding};
}

async function readText(path: string, io: CliIo): Promise<string> {
  try {
    return await io.readFile(path);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw CliError.create(`can't read ${path}: ${reason}`, EXIT_CODES.usage);
  }
}
