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
import {
  createOutcomeReport,
  formatOutcomeReport,
  resolveExitCode,
} from './outcome.js';
import {reviewFile} from './rules_diff.js';

/** Options of `rules apply`. */
export interface RulesApplyOptions {
  readonly file: string;
  readonly why: string;
  readonly who: string;
  readonly withoutHosts: readonly string[];
  /**
   * A revision or `latest`; if undefined, it is read from the revision line.
   */
  readonly base: string | undefined;
  /** The id of an earlier attempt; undefined for a new change. */
  readonly changeId: string | undefined;
  readonly isProgressForced: boolean;
  readonly isJson: boolean;
  readonly submit: SubmitOptions;
}

interface ResolvedBase {
  readonly revision: bigint;
  readonly warnings: readonly Finding[];
}

const LATEST_BASE = 'latest';
const REVISION_PATTERN = /^\d{1,15}$/;
const CHANGE_ID_PATTERN = /^[\w.:-]{1,128}$/;

/**
 * Checks a file, submits it to the entries and waits for the outcome. The
 * change id is printed before the submission, so that an interrupted command
 * can be repeated.
 */
export async function runRulesApply(
  options: RulesApplyOptions,
  entries: readonly EntryClient[],
  io: CliIo,
): Promise<ExitCode> {
  validateOptions(options);
  const file = await readRuleFile(options.file, io);
  if (file.rules === undefined) return printInvalidFile(options, file, io);
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
  return printResult(options, file, result, io);
}

function validateOptions({base, changeId, why}: RulesApplyOptions): void {
  const errors: string[] = [];
  if (why.trim() === '')
    errors.push('--why must give the reason for the change');
  if (
    base !== undefined &&
    base !== LATEST_BASE &&
    !REVISION_PATTERN.test(base)
  ) {
    errors.push(`--base must be a revision or ${LATEST_BASE}`);
  }
  if (changeId !== undefined && !CHANGE_ID_PATTERN.test(changeId)) {
    errors.push('--change-id must be 1 to 128 letters, digits and ._:-');
  }
  if (errors.length === 0) return;
  throw CliError.create(errors.join('\n'), EXIT_CODES.usage);
}

async function resolveBase(
  {base}: RulesApplyOptions,
  file: RuleFile,
  entries: readonly EntryClient[],
): Promise<ResolvedBase> {
  const givenRevision =
    base === undefined ? file.baseRevision : parseBase(base);
  if (givenRevision === undefined && base !== LATEST_BASE) {
    throw CliError.create(
      `the base revision is not known; give --base REVISION, begin the file with "# revision N" as rules show does, or give --base ${LATEST_BASE} to replace whatever is in force`,
      EXIT_CODES.usage,
    );
  }
  const inForce = await callFirst(entries, ({control}) => control.getRules({}));
  const revision = givenRevision ?? inForce.revision;
  return {revision, warnings: reviewFile(inForce.content, file)};
}

function parseBase(base: string): bigint | undefined {
  return base === LATEST_BASE ? undefined : BigInt(base);
}

function createChange(
  {who, why, withoutHosts}: RulesApplyOptions,
  {content}: RuleFile,
  baseRevision: bigint,
  changeId: string,
): RuleChange {
  return {changeId, who, why, content, baseRevision, withoutHosts};
}

function printInvalidFile(
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

function printResult(
  {isJson}: RulesApplyOptions,
  {path, lineOffset}: RuleFile,
  {changeId, outcome, failures}: SubmitResult,
  io: CliIo,
): ExitCode {
  const report = createOutcomeReport(changeId, outcome, lineOffset);
  const exitCode = resolveExitCode(report);
  io.writeOutput(formatOutcomeReport(report, path, isJson));
  if (exitCode === EXIT_CODES.undecided) {
    const lines = [
      ...failures,
      `to read the outcome, run: anvilrudder rules change ${changeId}`,
      `or repeat the command with --change-id ${changeId}; the change is applied at most once`,
    ];
    io.writeError(`${lines.join('\n')}\n`);
  }
  return exitCode;
}
