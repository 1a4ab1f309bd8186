import {randomUUID} from 'node:crypto';
import type {Finding} from '@anvilrudder/core';
import {CliError} from '../cli_error.js';
import type {CliIo} from '../cli_io.js';
import {callFirst, type EntryClient} from '../entry_client.js';
import {EXIT_CODES, type ExitCode} from '../exit_codes.js';
import {createProgress} from '../progress.js';
import {
  formatFindings,
  readRuleFile,
  toFindingJson,
  type RuleFile,
} from '../rule_file.js';
import {
  submitChange,
  type RuleChange,
  type SubmitOptions,
  type SubmitResult,
} from '../submit_change.js';
import {createReport, formatReport, resolveExitCode} from './outcome.js';
import {reviewFile} from './rules_diff.js';

/** Options of `rules apply`. */
export interface RulesApplyOptions {
  readonly file: string;
  readonly why: string;
  readonly who: string;
  readonly withoutHosts: readonly string[];
  /** A revision, `latest`, or undefined to read the file's first line. */
  readonly base: string | undefined;
  /** Undefined for a new change. */
  readonly changeId: string | undefined;
  readonly isProgressForced: boolean;
  readonly isJson: boolean;
  readonly submit: SubmitOptions;
}

interface RulesBase {
  readonly revision: bigint;
  readonly warnings: readonly Finding[];
}

const LATEST = 'latest';
const REVISION = /^\d{1,15}$/;
const CHANGE_ID = /^[\w.:-]{1,128}$/;

/**
 * Checks a file, offers it to the entries and waits for the outcome. The
 * change id is printed first, so that an interrupted command can be repeated.
 */
export async function runRulesApply(
  options: RulesApplyOptions,
  entries: readonly EntryClient[],
  io: CliIo,
): Promise<ExitCode> {
  checkOptions(options);
  const file = await readRuleFile(options.file, io);
  if (file.rules === undefined) return reportInvalidFile(options, file, io);
  const progress = createProgress(io, options.isProgressForced);
  progress.update('reading the rules in force');
  const base = await resolveBase(options, file, entries).finally(() =>
    progress.stop(),
  );
  const changeId = options.changeId ?? randomUUID();
  io.writeError(
    formatFindings(file.path, [...file.findings, ...base.warnings]),
  );
  io.writeError(`change id ${changeId}, base revision ${base.revision}\n`);
  const change = createChange(options, file, base.revision, changeId);
  const result = await submitChange(
    entries,
    change,
    options.submit,
    progress,
  ).finally(() => progress.stop());
  return reportResult(options, file, result, io);
}

function checkOptions({base, changeId, why}: RulesApplyOptions): void {
  const faults: string[] = [];
  if (why.trim() === '') faults.push('--why must say why the rules change');
  if (base !== undefined && base !== LATEST && !REVISION.test(base)) {
    faults.push(`--base must be a revision or ${LATEST}`);
  }
  if (changeId !== undefined && !CHANGE_ID.test(changeId)) {
    faults.push('--change-id must be 1 to 128 letters, digits and ._:-');
  }
  if (faults.length === 0) return;
  throw CliError.create(faults.join('\n'), EXIT_CODES.usage);
}

async function resolveBase(
  {base}: RulesApplyOptions,
  file: RuleFile,
  entries: readonly EntryClient[],
): Promise<RulesBase> {
  const named = base === undefined ? file.baseRevision : parseBase(base);
  if (named === undefined && base !== LATEST) {
    throw CliError.create(
      `the base revision is not known; give --base REVISION, begin the file with "# revision N" as rules show does, or give --base ${LATEST} to replace whatever is in force`,
      EXIT_CODES.usage,
    );
  }
  const inForce = await callFirst(entries, ({control}) => control.getRules({}));
  const revision = named ?? inForce.revision;
  return {revision, warnings: reviewFile(inForce.content, file)};
}

function parseBase(base: string): bigint | undefined {
  return base === LATEST ? undefined : BigInt(base);
}

function createChange(
  {who, why, withoutHosts}: RulesApplyOptions,
  {content}: RuleFile,
  baseRevision: bigint,
  changeId: string,
): RuleChange {
  return {changeId, who, why, content, baseRevision, withoutHosts};
}

function reportInvalidFile(
  {isJson}: RulesApplyOptions,
  {path, findings}: RuleFile,
  io: CliIo,
): ExitCode {
  if (isJson) {
    const report = {state: 'refused', findings: findings.map(toFindingJson)};
    io.writeOutput(`${JSON.stringify(report)}\n`);
  } else {
    io.writeOutput(formatFindings(path, findings));
  }
  return EXIT_CODES.refused;
}

function reportResult(
  {isJson}: RulesApplyOptions,
  {path, lineOffset}: RuleFile,
  {changeId, outcome, failures}: SubmitResult,
  io: CliIo,
): ExitCode {
  const report = createReport(changeId, outcome, lineOffset);
  const exitCode = resolveExitCode(report);
  io.writeOutput(formatReport(report, path, isJson));
  if (exitCode === EXIT_CODES.undecided) {
    const lines = [
      ...failures,
      `ask again with: anvilrudder rules change ${changeId}`,
      `or repeat the command with --change-id ${changeId}; it takes effect at most once`,
    ];
    io.writeError(`${lines.join('\n')}\n`);
  }
  return exitCode;
}
