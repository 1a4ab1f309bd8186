import type {CliIo} from '../cli_io.js';
import {EXIT_CODES, type ExitCode} from '../exit_codes.js';
import {formatFindings, readRuleFile, toFindingJson} from '../rule_file.js';

/** Options of `rules check`. */
export interface RulesCheckOptions {
  readonly file: string;
  readonly isJson: boolean;
}

/**
 * Checks a rule file without calling an entry and prints all findings.
 *
 * @example
 * ```ts
 * await runRulesCheck({file: 'penbridge.rules', isJson: false}, io);
 * ```
 */
export async function runRulesCheck(
  options: RulesCheckOptions,
  io: CliIo,
): Promise<ExitCode> {
  const {path, rules, findings} = await readRuleFile(options.file, io);
  const isValid = rules !== undefined;
  if (options.isJson) {
    const report = {file: path, isValid, findings: findings.map(toFindingJson)};
    io.writeOutput(`${JSON.stringify(report)}\n`);
  } else {
    io.writeOutput(formatFindings(path, findings));
    if (isValid) io.writeOutput(`${path}: ok\n`);
  }
  return isValid ? EXIT_CODES.ok : EXIT_CODES.refused;
}
