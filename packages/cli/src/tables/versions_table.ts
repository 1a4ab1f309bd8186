import {parseModelVersion} from '@anvilrudder/core';
import type {ArgsDef} from 'citty';
import {CliError} from '../cli_error.js';
import type {CliIo} from '../cli_io.js';
import {runVersionsList, runVersionsRule} from '../commands/versions.js';
import {EXIT_CODES, type ExitCode} from '../exit_codes.js';
import type {OptionReader} from '../option_reader.js';
import {ENTRY_ARGS, connect, type CommandTable} from './command_spec.js';

const VERSION_ARGS: ArgsDef = {
  version: {
    type: 'positional',
    description: 'Version, written model@version',
    required: true,
  },
  ...ENTRY_ARGS,
  why: {type: 'string', description: 'Reason, for the audit trail'},
};

/** Commands below `versions`. */
export const VERSION_COMMANDS: CommandTable = {
  list: {
    description: 'Print the evidence and the ruling on each version',
    args: ENTRY_ARGS,
    run: async (options, io) =>
      runVersionsList(
        {isJson: options.readFlag('json')},
        await connect(options, io),
        io,
      ),
  },
  stop: {
    description: 'Stop a version at once, without a change of the rules',
    args: VERSION_ARGS,
    run: (options, io) => ruleVersion('stopped', options, io),
  },
  allow: {
    description: 'Allow a version that the test or an operator stopped',
    args: VERSION_ARGS,
    run: (options, io) => ruleVersion('allowed', options, io),
  },
};

async function ruleVersion(
  state: 'stopped' | 'allowed',
  options: OptionReader,
  io: CliIo,
): Promise<ExitCode> {
  const named = parseModelVersion(options.readRequired('version'));
  if (named === undefined) {
    throw CliError.create('write model@version', EXIT_CODES.usage);
  }
  const why = options.readRequired('why');
  const isJson = options.readFlag('json');
  const entries = await connect(options, io);
  return runVersionsRule({...named, state, why, isJson}, entries, io);
}
