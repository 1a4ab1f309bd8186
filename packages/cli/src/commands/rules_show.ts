import type {CliIo} from '../cli_io.js';
import {callFirst, type EntryClient} from '../entry_client.js';
import {EXIT_CODES, type ExitCode} from '../exit_codes.js';
import {formatRevisionLine} from '../rule_file.js';

/** Options of `rules show`. */
export interface RulesShowOptions {
  readonly isRevisionOnly: boolean;
  readonly isJson: boolean;
}

/** Prints the rule file in force, preceded by a line with its revision. */
export async function runRulesShow(
  options: RulesShowOptions,
  entries: readonly EntryClient[],
  io: CliIo,
): Promise<ExitCode> {
  const {revision, content} = await callFirst(entries, ({control}) =>
    control.getRules({}),
  );
  if (options.isJson) {
    const report = options.isRevisionOnly
      ? {revision: Number(revision)}
      : {revision: Number(revision), content};
    io.writeOutput(`${JSON.stringify(report)}\n`);
  } else if (options.isRevisionOnly) {
    io.writeOutput(`${revision}\n`);
  } else {
    io.writeOutput(`${formatRevisionLine(revision)}${content}`);
  }
  return EXIT_CODES.ok;
}
