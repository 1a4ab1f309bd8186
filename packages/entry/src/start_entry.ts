import {MetricRegistry, createLogger} from '@anvilrudder/observability';
import {BackendDirectory} from './backends/backend_directory.js';
import {createBackendClients} from './backends/create_backend_clients.js';
import {watchBackends} from './backends/watch_backends.js';
import {createReloadableCredentials} from './config/reloadable_credentials.js';
import {SettingsReloader} from './config/settings_reloader.js';
import type {Settings} from './config/settings_schema.js';
import {createKeyChangeRecorder} from './control/audit/record_key_changes.js';
import {createEngineOrderClient} from './control/orders/engine_order_client.js';
import {startControlPlane} from './control/start_control_plane.js';
import {startDecisions} from './decisions/start_decisions.js';
import type {EntryContext} from './entry_context.js';
import {createCallerServer} from './server/caller_server.js';
import {listen} from './server/listen.js';
import {OpenRequests} from './server/open_requests.js';
import {stopCallerServer} from './server/stop_caller_server.js';
import {startTls} from './tls/index.js';

/** A running entry. */
export interface RunningEntry {
  /** `ip:port` of the server for callers. */
  readonly callerAddress: string;
  /** `ip:port` of the server for other entries. */
  readonly peerAddress: string;
  readonly context: EntryContext;
  /** Reloads the settings and certificates. */
  reload(): Promise<void>;
  /**
   * Stops gracefully: waits for open requests up to the straggler timeout, then
   * shuts everything down.
   */
  stop(): Promise<void>;
}

/** Options of {@link startEntry}. */
export interface StartEntryOptions {
  /** Path of the settings file; it is watched for changes. */
  readonly settingsFile?: string;
}

/**
 * Starts an entry: first the control plane, then the server for callers.
 *
 * @throws Error when the entry cannot listen on an address.
 * @example
 * ```ts
 * const entry = await startEntry(settings);
 * await entry.stop();
 * ```
 */
export async function startEntry(
  settings: Settings,
  options: StartEntryOptions = {},
): Promise<RunningEntry> {
  const logger = createLogger({
    name: 'anvilrudder-entry',
    host: settings.host,
    level: settings.log.level,
  });
  const tls = await startTls(settings, logger);
  const metrics = MetricRegistry.create();
  const clients = createBackendClients(settings);
  const backends = BackendDirectory.create();
  const stopWatching = await watchBackends({
    directory: backends,
    reader: clients.reader,
    logger,
    pollMs: settings.platform.hostPollMs,
  });
  const control = await startControlPlane({
    settings,
    logger,
    metrics,
    tls: tls.peers,
    listEntries: () => backends.listEntries(),
  });
  control.startOrders(createEngineOrderClient(clients.engines, backends));
  const decisions = await startDecisions({
    settings,
    logger,
    metrics,
    control,
    backends,
  });
  const refreshEnginePool = (): void =>
    decisions.engines.refresh(control.directory.listLivePeers().length + 1);
  refreshEnginePool();
  const stopRefreshing = backends.onChange(refreshEnginePool);
  const credentials = createReloadableCredentials(settings);
  let isAccepting = true;
  const context: EntryContext = {
    settings,
    logger,
    metrics,
    callers: credentials.callers,
    sessionKeys: credentials.sessionKeys,
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
  const {settingsFile} = options;
  const reloader =
    settingsFile === undefined
      ? undefined
      : await SettingsReloader.create({
          path: settingsFile,
          settings,
          logger,
          apply: changed => {
            credentials.update(changed);
            control.setOperators(changed.operators);
            logger.setLevel(changed.log.level);
          },
          record: createKeyChangeRecorder({
            audit: control.audit,
            member: control.member,
            logger,
            revision: () => control.keeper.status().revision,
          }),
        });
  logger.info('entry_started', {
    callerAddress,
    peerAddress: control.peerAddress,
    failureDomain: settings.failureDomain,
  });
  return {
    callerAddress,
    peerAddress: control.peerAddress,
    context,
    async reload() {
      await Promise.all([reloader?.reload(), tls.reload()]);
    },
    async stop() {
      isAccepting = false;
      reloader?.stop();
      await stopCallerServer(context, server);
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
