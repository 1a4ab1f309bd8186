import type {Logger} from '@anvilrudder/observability';
import type {Settings} from '../config/settings_schema.js';
import {TlsSource} from './tls_source.js';

/** The certificates of an entry; undefined where TLS is not configured. */
export interface EntryTls {
  readonly callers: TlsSource | undefined;
  readonly peers: TlsSource | undefined;
  /** Reloads all files. */
  reload(): Promise<void>;
  stop(): void;
}

/**
 * Reads the certificates that the settings name and watches their files.
 *
 * @throws Error when a file is missing or malformed, or when a key does not
 *     belong to its certificate.
 * @example
 * ```ts
 * const tls = await startTls(settings, logger);
 * ```
 */
export async function startTls(
  settings: Settings,
  logger: Logger,
): Promise<EntryTls> {
  const {callers: callerFiles, peers: peerFiles} = settings.tls;
  const callers =
    callerFiles &&
    (await TlsSource.create({use: 'callers', files: callerFiles, logger}));
  const peers =
    peerFiles &&
    (await TlsSource.create({use: 'peers', files: peerFiles, logger}));
  return {
    callers,
    peers,
    async reload() {
      await callers?.reload();
      await peers?.reload();
    },
    stop() {
      callers?.stop();
      peers?.stop();
    },
  };
}
