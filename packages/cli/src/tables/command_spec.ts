import type {ArgsDef} from 'citty';
import type {CliIo} from '../cli_io.js';
import {resolveClientSettings} from '../client_settings.js';
import {createEntryClients, type EntryClient} from '../entry_client.js';
import type {ExitCode} from '../exit_codes.js';
import type {OptionReader} from '../option_reader.js';
import {createProgress} from '../progress.js';

/** The description, options and implementation of one command. */
export interface CommandSpec {
  readonly description: string;
  readonly args: ArgsDef;
  run(options: OptionReader, io: CliIo): Promise<ExitCode>;
}

/** Command specifications by command name. */
export type CommandTable = Readonly<Record<string, CommandSpec>>;

const DEFAULT_CALL_TIMEOUT_S = 5;
const MS_PER_S = 1000;

/** The option that all commands have. */
export const JSON_ARG: ArgsDef = {
  json: {type: 'boolean', description: 'Print JSON'},
};

/** Options of the commands that call entries. */
export const ENTRY_ARGS: ArgsDef = {
  ...JSON_ARG,
  entry: {
    type: 'string',
    valueHint: 'url',
    description: 'URL of an entry; may be repeated (ANVILRUDDER_ENTRIES)',
  },
  'token-file': {
    type: 'string',
    valueHint: 'file',
    description: 'File with the operator token (ANVILRUDDER_TOKEN)',
  },
  'ca-file': {
    type: 'string',
    valueHint: 'file',
    description: 'PEM file with CA certificates (ANVILRUDDER_CA_FILE)',
  },
  'timeout-s': {
    type: 'string',
    valueHint: 'seconds',
    description: 'Maximum time to wait for an answer',
  },
  progress: {
    type: 'boolean',
    description: 'Show progress even if stderr is not a terminal',
  },
};

/** The rule file as the only positional argument. */
export const FILE_ARG: ArgsDef = {
  file: {type: 'positional', description: 'Rule file', required: true},
};
/** Creates clients for the entries given by the options or the environment. */
export async function createClientsFromOptions(
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

/** Reads the maximum time to wait for an answer, in milliseconds. */
export function readTimeoutMs(
  options: OptionReader,
  defaultMs: number,
): number {
  const defaultS = defaultMs / MS_PER_S;
  return options.readInteger('timeout-s', 1, defaultS) * MS_PER_S;
}
