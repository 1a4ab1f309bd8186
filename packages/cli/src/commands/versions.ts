import type {VersionStatus} from '@anvilrudder/peers';
import type {CliIo} from '../cli_io.js';
import {callFirst, type EntryClient} from '../entry_client.js';
import {EXIT_CODES, type ExitCode} from '../exit_codes.js';
import {formatTable} from '../format_table.js';

const PERCENT = 100;

/** Options of `versions list`. */
export interface VersionsListOptions {
  readonly isJson: boolean;
}

/** Options of `versions stop` and `versions allow`. */
export interface VersionsRulingOptions {
  readonly model: string;
  readonly version: string;
  readonly state: 'stopped' | 'allowed';
  readonly why: string;
  readonly isJson: boolean;
}

/** Prints the counters of each model version and the ruling on it. */
export async function runVersionsList(
  options: VersionsListOptions,
  entries: readonly EntryClient[],
  io: CliIo,
): Promise<ExitCode> {
  const {versions} = await callFirst(entries, entry =>
    entry.control.listVersions({}),
  );
  writeVersions(versions, options.isJson, io);
  return EXIT_CODES.ok;
}

/**
 * Stops a version, or allows one that the rollout test or an operator stopped.
 */
export async function runVersionsRuling(
  options: VersionsRulingOptions,
  entries: readonly EntryClient[],
  io: CliIo,
): Promise<ExitCode> {
  const {model, version, state, why} = options;
  const response = await callFirst(entries, entry =>
    entry.control.ruleVersion({model, version, state, why}),
  );
  const versions = response.version === undefined ? [] : [response.version];
  writeVersions(versions, options.isJson, io);
  return EXIT_CODES.ok;
}

function writeVersions(
  versions: readonly VersionStatus[],
  isJson: boolean,
  io: CliIo,
): void {
  if (isJson) {
    io.writeOutput(versions.map(formatJson).join(''));
    return;
  }
  const header = ['version', 'state', 'requests', 'errors', 'rated', 'by'];
  io.writeOutput(formatTable(header, versions.map(formatRow)));
}

function formatJson(status: VersionStatus): string {
  const {model, version, state, decidedBy, reason, term, meanRating} = status;
  return `${JSON.stringify({
    model,
    version,
    state,
    decidedBy,
    reason,
    term,
    requests: Number(status.requests),
    errors: Number(status.errors),
    ratings: Number(status.ratings),
    meanRating,
  })}\n`;
}

function formatRow(status: VersionStatus): readonly string[] {
  const {model, version, state, decidedBy, reason} = status;
  const mean = Math.round(status.meanRating * PERCENT);
  return [
    `${model}@${version}`,
    state,
    String(status.requests),
    String(status.errors),
    status.ratings === 0n ? '-' : `${status.ratings} (mean ${mean}%)`,
    decidedBy === '' ? '-' : `${decidedBy}: ${reason}`,
  ];
}
