import {CliError} from './cli_error.js';
import type {CliIo} from './cli_io.js';
import {EXIT_CODES} from './exit_codes.js';

/** Environment variable with the entries' URLs, separated by commas. */
export const ENTRIES_VARIABLE = 'ANVILRUDDER_ENTRIES';

/** Environment variable with the operator token. */
export const TOKEN_VARIABLE = 'ANVILRUDDER_TOKEN';

/** Environment variable with the path of the authorities' certificates. */
export const CA_FILE_VARIABLE = 'ANVILRUDDER_CA_FILE';

/** How to reach the entries. */
export interface ClientSettings {
  /** Base URLs of the entries, in the order in which they are tried. */
  readonly entryUrls: readonly string[];
  readonly token: string;
  /** PEM authorities of the entries; the system's own when unset. */
  readonly ca?: string | undefined;
}

/** The options that name entries and token. */
export interface ClientOptions {
  readonly entryUrls: readonly string[];
  readonly tokenFile: string | undefined;
  readonly caFile?: string | undefined;
}

interface CaReading {
  readonly ca: string | undefined;
  readonly faults: readonly string[];
}

interface TokenReading {
  readonly token: string;
  readonly faults: readonly string[];
}

const CERTIFICATE_MARK = '-----BEGIN CERTIFICATE-----';
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
  const {ca, faults: caFaults} = await readCa(options.caFile, io);
  const faults = [...checkEntryUrls(entryUrls), ...tokenFaults, ...caFaults];
  if (faults.length > 0) {
    throw CliError.create(faults.join('\n'), EXIT_CODES.usage);
  }
  return {entryUrls, token, ca};
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

async function readCa(
  caFile: string | undefined,
  io: CliIo,
): Promise<CaReading> {
  const path = caFile ?? io.env[CA_FILE_VARIABLE] ?? '';
  if (path === '') return {ca: undefined, faults: []};
  try {
    const ca = await io.readFile(path);
    if (ca.includes(CERTIFICATE_MARK)) return {ca, faults: []};
    return {ca: undefined, faults: [`the file ${path} holds no certificate`]};
  } catch {
    return {ca: undefined, faults: [`the file ${path} can't be read`]};
  }
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
