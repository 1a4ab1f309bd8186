import {formatReport, writeCapacityReport} from './capacity_report.js';
import {CAPACITY_COMMANDS} from './registry.js';

const REPORT_FOLDER = 'reports';
const DEFAULT_SEED = 1;

/**
 * Runs the named capacity command, writes its report and prints it.
 *
 * @returns false when there is no command of that name.
 * @example
 * ```ts
 * await runCapacity('capacity-rules');
 * ```
 */
export async function runCapacity(name: string): Promise<boolean> {
  const command = CAPACITY_COMMANDS.find(c => c.name === name);
  if (command === undefined) return false;
  const report = await command.run({seed: DEFAULT_SEED, isSmall: false});
  writeCapacityReport(report, REPORT_FOLDER);
  console.log(formatReport(report));
  return true;
}

/** Returns one line with name and description for each capacity command. */
export function listCapacity(): readonly string[] {
  return CAPACITY_COMMANDS.map(c => `${c.name}: ${c.description}`);
}
