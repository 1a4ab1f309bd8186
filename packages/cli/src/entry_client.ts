import {ControlService} from '@anvilrudder/peers';
import {
  Code,
  ConnectError,
  createClient,
  type Client,
} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {Agent, type RequestOptions} from 'node:https';
import {CliError} from './cli_error.js';
import type {ClientSettings} from './client_settings.js';
import {EXIT_CODES} from './exit_codes.js';
import type {Progress} from './progress.js';

/** Client of one entry. */
export interface EntryClient {
  readonly url: string;
  readonly control: Client<typeof ControlService>;
}

/** A call to one entry. */
export type EntryCall<T> = (entry: EntryClient) => Promise<T>;

/** Codes of errors that every other entry would return as well. */
const REJECTION_CODES: ReadonlySet<Code> = new Set([
  Code.Unauthenticated,
  Code.PermissionDenied,
  Code.InvalidArgument,
]);

/** System errors that occur before a connection is established. */
const CONNECTION_FAILURE_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EAI_AGAIN',
]);

/**
 * Creates a client for each entry of the settings.
 *
 * @param progress shows the entry whose response is awaited.
 */
export function createEntryClients(
  settings: ClientSettings,
  callTimeoutMs: number,
  progress: Progress,
): readonly EntryClient[] {
  const authorization = `Bearer ${settings.token}`;
  const {ca} = settings;
  return settings.entryUrls.map(url => {
    const transport = createConnectTransport({
      baseUrl: url,
      httpVersion: '1.1',
      defaultTimeoutMs: callTimeoutMs,
      nodeOptions: url.startsWith('https:') ? createTlsOptions(ca) : {},
      interceptors: [
        next => async request => {
          request.header.set('authorization', authorization);
          progress.update(`waiting for ${url}`);
          try {
            return await next(request);
          } finally {
            progress.stop();
          }
        },
      ],
    });
    return {url, control: createClient(ControlService, transport)};
  });
}

function createTlsOptions(ca: string | undefined): RequestOptions {
  return {agent: new Agent({keepAlive: false, minVersion: 'TLSv1.2', ca})};
}

/**
 * Calls the entries in turn until one answers.
 *
 * @throws CliError when an entry rejects the call or none answers.
 * @example
 * ```ts
 * await callFirst(entries, entry => entry.control.getRules({}));
 * ```
 */
export async function callFirst<T>(
  entries: readonly EntryClient[],
  call: EntryCall<T>,
): Promise<T> {
  const failures: string[] = [];
  for (const entry of entries) {
    try {
      return await call(entry);
    } catch (error) {
      if (isRejection(error)) throw createRejectedError(entry, error);
      failures.push(describeFailure(entry, error));
    }
  }
  throw createUnreachableError(failures);
}

/** Returns true when every other entry would reject the call as well. */
export function isRejection(error: unknown): boolean {
  return REJECTION_CODES.has(ConnectError.from(error).code);
}

/** Returns true when no connection was established, so nothing was sent. */
export function isConnectionFailure(error: unknown): boolean {
  for (let cause = error; cause instanceof Error; cause = cause.cause) {
    const {code} = cause as NodeJS.ErrnoException;
    if (typeof code === 'string' && CONNECTION_FAILURE_CODES.has(code))
      return true;
  }
  return false;
}

/** Formats as one line why a call to an entry failed. */
export function describeFailure(entry: EntryClient, error: unknown): string {
  return `${entry.url}: ${ConnectError.from(error).message}`;
}

/** Creates the error for a call that every entry would reject. */
export function createRejectedError(
  entry: EntryClient,
  error: unknown,
): CliError {
  return CliError.create(describeFailure(entry, error), EXIT_CODES.usage);
}

/** Creates the error for a call that no entry answered. */
export function createUnreachableError(failures: readonly string[]): CliError {
  const lines = ['no entry answered', ...failures];
  return CliError.create(lines.join('\n'), EXIT_CODES.unreachable);
}
