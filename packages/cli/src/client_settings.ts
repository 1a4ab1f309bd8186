import {CliError} from './cli_error.js';
import type {CliIo} from './cli_io.js';
import {EXIT_CODES} from './exit_codes.js';

/** Environment variable with the entries' URLs, separated by commas. */
export const ENTRIES_VARIABLE = 'ANVILRUDDER_ENTRIES';

/** Environment variable with the operator token. */
export const TOKEN_VARIABLE = 'ANVILRUDDER_TOKEN';

/** How to reach the entries. */
export interface ClientSettings {
  /** Base URLs of the entries, in the order in which they are tried. */
  readonly entryUrls: readonly string[];
  readonly token: string;
}

/** The options that name entries and token. */
export interface ClientOptions {
  readonly entryUrls: readonly string[];
  readonly tokenFile: string | undefined;
}

interface TokenReading {
  readonly token: string;
  readonly faults: readonly string[];
}

const TOKEN = /^[!-~]{1,512}$/;

/**
 * Resolves the entries and the operator token; options go before the
 * environment. All faults are reported together.
 *
 * @throws CliError with the usage exit code.
 * @example
 * ```ts
 * await resolveClientSettings({entryUrls: [], tokenFile: undefined}, io);
 * ```
 */
export async function resolveClientSettings(
  options: ClientOptions,
  io: CliIo,
): Promise<ClientSettings> {
  const entryUrls = listEntryUrls(options, io);
  const {token, faults: tokenFaults} = await readToken(options.tokenFile, io);
  const faults = [...checkEntryUrls(entryUrls), ...tokenFaults];
  if (faults.length > 0) {
    throw CliError.create(faults.join('\n'), EXIT_CODES.usage);
  }
  return {entryUrls, token};
}

function listEntryUrls(options: ClientOptions, io: CliIo): readonly string[] {
  if (options.entryUrls.length > 0) return options.entryUrls;
  return (io.env[ENTRIES_VARIABLE] ?? '')
    .split(',')
    .map(url => url.trim())
    .filter(url => url !== '');
}

function checkEntryUrls(urls: readonly string[]): readonly string[] {
  if (urls.length === 0) {
    return [`no entry is given; use --entry URL or ${ENTRIES_VARIABLE}`];
  }
  return urls
    .filter(url => !isHttpUrl(url))
    .map(url => `the entry ${JSON.stringify(url)} is not an http or https URL`);
}

function isHttpUrl(text: string): boolean {
  if (!URL.canParse(text)) return false;
  return ['http:', 'https:'].includes(new URL(text).protocol);
}

async function readToken(
  tokenFile: string | undefined,
  io: CliIo,
): Promise<TokenReading> {
  if (tokenFile === undefined) return checkToken(io.env[TOKEN_VARIABLE]);
  try {
    return checkToken(await io.readFile(tokenFile));
  } catch {
    return {token: '', faults: [`the token file ${tokenFile} can't be read`]};
  }
}

function checkToken(text: string | undefined): TokenReading {
  const token = (text ?? '').trim();
  if (TOKEN.test(token)) return {token, faults: []};
  const fault =
    token === ''
      ? `no operator token is given; use --token-file FILE or ${TOKEN_VARIABLE}`
      : 'the operator token is malformed';
  return {token, faults: [fault]};
}
