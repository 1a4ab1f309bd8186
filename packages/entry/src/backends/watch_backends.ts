import type {Logger} from '@anvilrudder/observability';
import type {
  BackendDirectory,
  ListedHost,
  EngineLoad,
} from './backend_directory.js';

/** A pause lasts from 0.8 to 1.2 times the period. */
const JITTER = 0.4;

/** Reads the host list and the engines' load reports. */
export interface BackendReader {
  readHosts(): Promise<readonly ListedHost[]>;
  readLoad(address: string): Promise<EngineLoad>;
}

/** Options of {@link watchBackends}. */
export interface WatchBackendsOptions {
  readonly directory: BackendDirectory;
  readonly reader: BackendReader;
  readonly logger: Logger;
  readonly pollMs: number;
  /** Uniform between 0 and 1; spreads the reads of many entries. */
  readonly random?: () => number;
}

/**
 * Keeps a directory up to date until the returned function is called. A
 * failed read keeps what is known.
 *
 * @example
 * ```ts
 * const stopWatching = await watchBackends({directory, reader, logger, pollMs: 1000});
 * ```
 */
export async function watchBackends(
  options: WatchBackendsOptions,
): Promise<() => void> {
  let timer: NodeJS.Timeout | undefined;
  let isStopped = false;
  const {pollMs, random = Math.random} = options;

  async function refresh(): Promise<void> {
    await refreshHosts(options);
    await refreshLoads(options);
    options.directory.notifyChange();
    const delayMs = pollMs * (1 + JITTER * (random() - 0.5));
    if (!isStopped) timer = setTimeout(() => void refresh(), delayMs);
  }

  await refresh();
  return () => {
    isStopped = true;
    clearTimeout(timer);
  };
}

async function refreshHosts(options: WatchBackendsOptions): Promise<void> {
  try {
    options.directory.replaceHosts(await options.reader.readHosts());
  } catch (error) {
    options.logger.warn('host_list_unavailable', {
      reason: (error as Error).message,
    });
  }
}

async function refreshLoads(options: WatchBackendsOptions): Promise<void> {
  const engines = options.directory
    .listAll()
    .filter(view => view.host.role === 'engine');
  await Promise.all(
    engines.map(async ({host}) => {
      try {
        const load = await options.reader.readLoad(host.address);
        options.directory.recordLoad(host.host, load);
      } catch (error) {
        options.logger.debug('load_report_failed', {
          server: host.host,
          reason: (error as Error).message,
        });
      }
    }),
  );
}
