import type {ChangeOutcome} from '@anvilrudder/peers';
import type {CliIo} from '../cli_io.js';
import {
  createRejectedError,
  createUnreachableError,
  describeFailure,
  isRejection,
  type EntryClient,
} from '../entry_client.js';
import type {ExitCode} from '../exit_codes.js';
import {
  createOutcomeReport,
  formatOutcomeReport,
  resolveExitCode,
} from './outcome.js';

/** Options of `rules change`. */
export interface RulesChangeOptions {
  readonly changeId: string;
  readonly isJson: boolean;
}

/**
 * Prints the outcome of a change. The entries are called in turn until one
 * returns a decided outcome, as an entry may not know the change or its outcome
 * yet.
 */
export async function runRulesChange(
  options: RulesChangeOptions,
  entries: readonly EntryClient[],
  io: CliIo,
): Promise<ExitCode> {
  const {changeId, isJson} = options;
  const failures: string[] = [];
  let lastOutcome: ChangeOutcome | undefined;
  for (const entry of entries) {
    try {
      const {outcome} = await entry.control.getChange({changeId});
      lastOutcome = outcome ?? lastOutcome;
      if (isDecided(lastOutcome)) break;
    } catch (error) {
      if (isRejection(error)) throw createRejectedError(entry, error);
      failures.push(describeFailure(entry, error));
    }
  }
  if (failures.length === entries.length)
    throw createUnreachableError(failures);
  const report = createOutcomeReport(changeId, lastOutcome);
  io.writeOutput(formatOutcomeReport(report, changeId, isJson));
  if (!isDecided(lastOutcome))
    io.writeError(failures.map(f => `${f}\n`).join(''));
  return resolveExitCode(report);
}

function isDecided(outcome: ChangeOutcome | undefined): boolean {
  return outcome !== undefined && outcome.state !== 'undecided';
}
