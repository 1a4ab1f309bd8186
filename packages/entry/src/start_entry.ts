import {MetricRegistry, createLogger} from '@anvilrudder/observability';
import {BackendDirectory} from './backends/backend_directory.js';
import {createBackendClients} from './backends/create_backend_clients.js';
import {watchBackends} from './backends/watch_backends.js';
import type {Settings} from './config/settings_schema.js';
import {startControl} from './control/start_control.js';
import {startDecisions} from './decisions/start_decisions.js';
import type {EntryContext} from './entry_context.js';
import {createCallerServer} from './server/caller_server.js';
import {listen} from './server/listen.js';
import {OpenRequests} from './server/open_requests.js';
import {stopCallers} from './server/stop_callers.js';
import {createAuthenticator} from './stages/authenticate.js';
import {startTls} from './tls/index.js';

/** A running entry. */
export interface RunningEntry {
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly context: EntryContext;
  /** Stops gracefully; resolves when no request is open. */
  stop(): Promise<void>;
}

/**
 * Starts an entry: control first, then the server for callers.
 *
 * @throws Error when an address cannot be listened on.
 * @example
 * ```ts
 * const entry = await startEntry(settings);
 * await entry.stop();
 * ```
 */
export async function startEntry(settings: Settings): Promise<RunningEntry> {
  const logger = createLogger({
    name: 'anvilrudder-entry',
    host: settings.host,
    level: settings.log.level,
  });
  const metrics = MetricRegistry.create();
  const clients = createBackendClients(settings);
  const backends = BackendDirectory.create();
  const stopWatching = await watchBackends({
    directory: backends,
    reader: clients.reader,
    logger,
    pollMs: settings.platform.hostPollMs,
  });
  const tls = await startTls(settings, logger);
  const control = await startControl({
    settings,
    logger,
    metrics,
    tls: tls.peers,
    listEntries: () => backends.listEntries(),
  });
  const decisions = await startDecisions({
    settings,
    logger,
    metrics,
    control,
    backends,
  });
  const refreshPool = (): void =>
    decisions.engines.refresh(control.directory.listLive().length + 1);
  refreshPool();
  const stopRefreshing = backends.onChange(refreshPool);
  let isAccepting = true;
  const context: EntryContext = {
    settings,
    logger,
    metrics,
    callers: createAuthenticator(
      settings.organisations.map(({name, apiKeySha256}) => ({
        name,
        digests: apiKeySha256,
      })),
    ),
    sessionKeys: {
      keys: settings.sessions.keys.map(({id, secretBase64}) => ({
        id,
        secret: Buffer.from(secretBase64, 'base64'),
      })),
    },
    keeper: control.keeper,
    decisions,
    claims: control.claims,
    billing: control.billing,
    audit: control.audit,
    backends,
    engines: clients.engines,
    services: clients.services,
    openRequests: OpenRequests.create(),
    isAccepting: () => isAccepting,
  };
  metrics.registerGauge('open_requests', () => context.openRequests.count);
  metrics.registerGauge(
    'rules_revision',
    () => control.keeper.status().revision,
  );
  const server = createCallerServer(context, tls.callers);
  const callerAddress = await listen(server, settings.listen);
  logger.info('entry_started', {
    callerAddress,
    peerAddress: control.peerAddress,
    failureDomain: settings.failureDomain,
  });
  return {
    callerAddress,
    peerAddress: control.peerAddress,
    context,
    async stop() {
      isAccepting = false;
      await stopCallers(context, server);
      stopWatching();
      stopRefreshing();
      await decisions.stop();
      await control.stop();
      tls.stop();
      await clients.close();
      logger.info('entry_stopped', {});
    },
  };
}
