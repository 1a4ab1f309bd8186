import {CliError} from './cli_error.js';
import type {CliIo} from './cli_io.js';
import {EXIT_CODES} from './exit_codes.js';

/** Environment variable with the URLs of the entries, separated by commas. */
export const ENTRIES_VARIABLE = 'ANVILRUDDER_ENTRIES';

/** Environment variable with the operator token. */
export const TOKEN_VARIABLE = 'ANVILRUDDER_TOKEN';

/** Environment variable with the path of the CA certificates. */
export const CA_FILE_VARIABLE = 'ANVILRUDDER_CA_FILE';

/** How to connect and authenticate to the entries. */
export interface ClientSettings {
  /** Base URLs of the entries, in the order in which they are tried. */
  readonly entryUrls: readonly string[];
  readonly token: string;
  /**
   * CA certificates that the entries are verified with, in PEM; the default CA
   * certificates of Node.js if this is undefined.
   */
  readonly ca?: string | undefined;
}

/** Command-line options that specify the entries and the credentials. */
export interface ClientOptions {
  readonly entryUrls: readonly string[];
  readonly tokenFile: string | undefined;
  readonly caFile?: string | undefined;
}

interface CaResult {
  readonly ca: string | undefined;
  readonly errors: readonly string[];
}

interface TokenResult {
  readonly token: string;
  readonly errors: readonly string[];
}

const PEM_CERTIFICATE_HEADER = '-----BEGIN CERTIFICATE-----';
const TOKEN_PATTERN = /^[!-~]{1,512}$/;

/**
 * Resolves the entries, the operator token and the CA certificates. Options
 * take precedence over the environment. All errors are reported together.
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
  const {token, errors: tokenErrors} = await readToken(options.tokenFile, io);
  const {ca, errors: caErrors} = await readCa(options.caFile, io);
  const errors = [...validateEntryUrls(entryUrls), ...tokenErrors, ...caErrors];
  if (errors.length > 0) {
    throw CliError.create(errors.join('\n'), EXIT_CODES.usage);
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

function validateEntryUrls(urls: readonly string[]): readonly string[] {
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
): Promise<CaResult> {
  const path = caFile ?? io.env[CA_FILE_VARIABLE] ?? '';
  if (path === '') return {ca: undefined, errors: []};
  try {
    const ca = await io.readFile(path);
    if (ca.includes(PEM_CERTIFICATE_HEADER)) return {ca, errors: []};
    return {
      ca: undefined,
      errors: [`the file ${path} contains no PEM certificate`],
    };
  } catch {
    return {ca: undefined, errors: [`the file ${path} can't be read`]};
  }
}

async function readToken(
  tokenFile: string | undefined,
  io: CliIo,
): Promise<TokenResult> {
  if (tokenFile === undefined) return validateToken(io.env[TOKEN_VARIABLE]);
  try {
    return validateToken(await io.readFile(tokenFile));
  } catch {
    return {token: '', errors: [`the token file ${tokenFile} can't be read`]};
  }
}

function validateToken(text: string | undefined): TokenResult {
  const token = (text ?? '').trim();
  if (TOKEN_PATTERN.test(token)) return {token, errors: []};
  const message =
    token === ''
      ? `no operator token is given; use --token-file FILE or ${TOKEN_VARIABLE}`
      : 'the operator token must be 1 to 512 printable ASCII characters without spaces';
  return {token, errors: [message]};
}
