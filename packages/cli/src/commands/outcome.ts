import type {Finding} from '@anvilrudder/core';
import type * as wire from '@anvilrudder/peers';
import {EXIT_CODES, type ExitCode} from '../exit_codes.js';
import {replaceControlCharacters} from '../format_table.js';
import {formatFindings, toFindingJson, type FindingJson} from '../rule_file.js';

/** The outcome of a change, as it is printed. */
export interface OutcomeReport {
  readonly changeId: string;
  readonly state: string;
  readonly revision: number;
  readonly reason: string;
  readonly findings: readonly Finding[];
  readonly silentHosts: readonly string[];
}

const EXIT_CODES_BY_STATE: ReadonlyMap<string, ExitCode> = new Map([
  ['accepted', EXIT_CODES.ok],
  ['refused', EXIT_CODES.refused],
]);

/**
 * Decodes an outcome. A missing outcome is reported as `undecided`.
 *
 * @param lineOffset number of lines in the operator's file before the submitted
 *   content.
 */
export function createOutcomeReport(
  changeId: string,
  outcome: wire.ChangeOutcome | undefined,
  lineOffset = 0,
): OutcomeReport {
  return {
    changeId,
    state: outcome?.state ?? 'undecided',
    revision: Number(outcome?.revision ?? 0n),
    reason: outcome?.reason ?? 'no entry has reported the outcome',
    findings: (outcome?.findings ?? []).map(finding =>
      decodeFinding(finding, lineOffset),
    ),
    silentHosts: outcome?.silentHosts ?? [],
  };
}

/** Returns the exit code for the state of a change. */
export function resolveExitCode({state}: OutcomeReport): ExitCode {
  return EXIT_CODES_BY_STATE.get(state) ?? EXIT_CODES.undecided;
}

/** Formats an outcome as text or as one line of JSON. */
export function formatOutcomeReport(
  report: OutcomeReport,
  fileName: string,
  isJson: boolean,
): string {
  return isJson
    ? `${JSON.stringify(toJson(report))}\n`
    : formatText(report, fileName);
}

interface OutcomeJson extends Omit<OutcomeReport, 'findings'> {
  readonly findings: readonly FindingJson[];
}

function toJson(report: OutcomeReport): OutcomeJson {
  return {...report, findings: report.findings.map(toFindingJson)};
}

function formatText(report: OutcomeReport, fileName: string): string {
  const {state, revision, reason, findings, silentHosts} = report;
  const summary =
    state === 'accepted' ? `accepted as revision ${revision}` : state;
  const lines = [reason === '' ? summary : `${summary}: ${reason}`];
  if (silentHosts.length > 0) {
    lines.push(`not acknowledged by: ${silentHosts.join(', ')}`);
  }
  const text = lines
    .map(line => `${replaceControlCharacters(line)}\n`)
    .join('');
  return text + formatFindings(fileName, findings);
}

function decodeFinding(finding: wire.Finding, lineOffset: number): Finding {
  const {line, column, severity, code, message, hint} = finding;
  return {
    position: {line: line + lineOffset, column},
    severity: severity === 'warning' ? 'warning' : 'error',
    code,
    message,
    ...(hint === '' ? {} : {hint}),
  };
}
