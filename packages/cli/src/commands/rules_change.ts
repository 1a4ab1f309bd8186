import type {ChangeOutcome} from '@anvilrudder/peers';
import type {CliIo} from '../cli_io.js';
import {
  createRefusedError,
  createUnreachableError,
  describeFailure,
  isRefusal,
  type EntryClient,
} from '../entry_client.js';
import type {ExitCode} from '../exit_codes.js';
import {createReport, formatReport, resolveExitCode} from './outcome.js';

/** Options of `rules change`. */
export interface RulesChangeOptions {
  readonly changeId: string;
  readonly isJson: boolean;
}

/**
 * Prints the outcome of a change. Entries are asked in turn until one knows
 * that it is decided, as an entry may not have heard of it.
 */
export async function runRulesChange(
  options: RulesChangeOptions,
  entries: readonly EntryClient[],
  io: CliIo,
): Promise<ExitCode> {
  const {changeId, isJson} = options;
  const failures: string[] = [];
  let best: ChangeOutcome | undefined;
  for (const entry of entries) {
    try {
      const {outcome} = await entry.control.getChange({changeId});
      best = outcome ?? best;
      if (isDecided(best)) break;
    } catch (error) {
      if (isRefusal(error)) throw createRefusedError(entry, error);
      failures.push(describeFailure(entry, error));
    }
  }
  if (failures.length === entries.length)
    throw createUnreachableError(failures);
  const report = createReport(changeId, best);
  io.writeOutput(formatReport(report, changeId, isJson));
  if (!isDecided(best)) io.writeError(failures.map(f => `${f}\n`).join(''));
  return resolveExitCode(report);
}

function isDecided(outcome: ChangeOutcome | undefined): boolean {
  return outcome !== undefined && outcome.state !== 'undecided';
}
