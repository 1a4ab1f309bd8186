import type {ArgsDef} from 'citty';
import type {CliIo} from '../cli_io.js';
import {resolveClientSettings} from '../client_settings.js';
import {createEntryClients, type EntryClient} from '../entry_client.js';
import type {ExitCode} from '../exit_codes.js';
import type {OptionReader} from '../option_reader.js';
import {createProgress} from '../progress.js';

/** One command: its options and what it does. */
export interface CommandSpec {
  readonly description: string;
  readonly args: ArgsDef;
  run(options: OptionReader, io: CliIo): Promise<ExitCode>;
}

/** Commands by name. */
export type CommandTable = Readonly<Record<string, CommandSpec>>;

const DEFAULT_CALL_TIMEOUT_S = 5;
const MS_PER_S = 1000;

/** The option that every command has. */
export const JSON_ARG: ArgsDef = {
  json: {type: 'boolean', description: 'Print JSON'},
};

/** Options of the commands that talk to an entry. */
export const ENTRY_ARGS: ArgsDef = {
  ...JSON_ARG,
  entry: {
    type: 'string',
    valueHint: 'url',
    description: 'Entry to talk to; may be repeated (ANVILRUDDER_ENTRIES)',
  },
  'token-file': {
    type: 'string',
    valueHint: 'file',
    description: 'File with the operator token (ANVILRUDDER_TOKEN)',
  },
  'ca-file': {
    type: 'string',
    valueHint: 'file',
    description: 'Authorities of the entries, PEM (ANVILRUDDER_CA_FILE)',
  },
  'timeout-s': {
    type: 'string',
    valueHint: 'seconds',
    description: 'Longest wait for an answer',
  },
  progress: {
    type: 'boolean',
    description: 'Show progress without a terminal',
  },
};

/** The rule file as the only positional argument. */
export const FILE_ARG: ArgsDef = {
  file: {type: 'positional', description: 'Rule file', required: true},
};
/** Creates the clients that the options and the environment name. */
export async function connect(
  options: OptionReader,
  io: CliIo,
  progress = createProgress(io, options.readFlag('progress')),
): Promise<readonly EntryClient[]> {
  const settings = await resolveClientSettings(
    {
      entryUrls: options.readList('entry'),
      tokenFile: options.readText('token-file'),
      caFile: options.readText('ca-file'),
    },
    io,
  );
  const defaultMs = DEFAULT_CALL_TIMEOUT_S * MS_PER_S;
  return createEntryClients(
    settings,
    readTimeoutMs(options, defaultMs),
    progress,
  );
}

/** Reads the longest wait for an answer, in milliseconds. */
export function readTimeoutMs(
  options: OptionReader,
  defaultMs: number,
): number {
  const defaultS = defaultMs / MS_PER_S;
  return options.readInteger('timeout-s', 1, defaultS) * MS_PER_S;
}
