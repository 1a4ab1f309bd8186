import {parseModelVersion} from '@anvilrudder/core';
import type {ArgsDef} from 'citty';
import {CliError} from '../cli_error.js';
import type {CliIo} from '../cli_io.js';
import {runVersionsList, runVersionsRuling} from '../commands/versions.js';
import {EXIT_CODES, type ExitCode} from '../exit_codes.js';
import type {OptionReader} from '../option_reader.js';
import {
  ENTRY_ARGS,
  createClientsFromOptions,
  type CommandTable,
} from './command_spec.js';

const VERSION_ARGS: ArgsDef = {
  version: {
    type: 'positional',
    description: 'Version, written as model@version',
    required: true,
  },
  ...ENTRY_ARGS,
  why: {type: 'string', description: 'Reason, for the audit trail'},
};

/** Subcommands of `versions`. */
export const VERSION_COMMANDS: CommandTable = {
  list: {
    description: 'Print the counters of each version and the ruling on it',
    args: ENTRY_ARGS,
    run: async (options, io) =>
      runVersionsList(
        {isJson: options.readFlag('json')},
        await createClientsFromOptions(options, io),
        io,
      ),
  },
  stop: {
    description: 'Stop a version immediately, without a change of the rules',
    args: VERSION_ARGS,
    run: (options, io) => runRuling('stopped', options, io),
  },
  allow: {
    description: 'Allow a version that the rollout test or an operator stopped',
    args: VERSION_ARGS,
    run: (options, io) => runRuling('allowed', options, io),
  },
};

async function runRuling(
  state: 'stopped' | 'allowed',
  options: OptionReader,
  io: CliIo,
): Promise<ExitCode> {
  const modelVersion = parseModelVersion(options.readRequired('version'));
  if (modelVersion === undefined) {
    throw CliError.create(
      'the version must be written as model@version',
      EXIT_CODES.usage,
    );
  }
  const why = options.readRequired('why');
  const isJson = options.readFlag('json');
  const entries = await createClientsFromOptions(options, io);
  return runVersionsRuling({...modelVersion, state, why, isJson}, entries, io);
}
