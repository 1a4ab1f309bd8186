import {once} from 'node:events';
import type {Server} from 'node:http';
import {
  PrefillTimeEstimator,
  ServerTable,
  DecodeTimeEstimator,
  type ObjectStore,
  type Random,
} from '@anvilrudder/core';
import type {Logger, MetricRegistry} from '@anvilrudder/observability';
import type {GatewaySettings, ListenAddress} from './config/settings.js';
import {followStore, type FollowedKinds} from './control/follow_store.js';
import {HostRegistry} from './control/host_registry.js';
import {HostMessenger} from './control/host_messenger.js';
import {RepeatBudgets} from './control/repeat_budgets.js';
import {RoutingState} from './control/routing_state.js';
import {ServerDirectory} from './control/server_directory.js';
import {ServerPools} from './control/server_pools.js';
import {StoreVersionTracker} from './control/store_version_tracker.js';
import {
  createStoredStateWriter,
  type RolloutProgressCodec,
} from './control/rollout_state_writer.js';
import {RolloutController} from './control/rollout_controller.js';
import type {GatewayContext} from './gateway_context.js';
import type {CallerCodec} from './ports.js';
import {applyCallerLimits, createCallerServer} from './server/caller_server.js';
import {
  createMetricsServer,
  createReadinessServer,
} from './server/status_servers.js';
import {stopCallers} from './server/drain_caller_server.js';

/** What the gateway is given from outside. */
export interface GatewayParts {
  readonly settings: GatewaySettings;
  readonly logger: Logger;
  readonly metrics: MetricRegistry;
  readonly codec: CallerCodec;
  readonly store: ObjectStore;
  readonly kinds: FollowedKinds;
  readonly declarations: RolloutProgressCodec;
  readonly random: Random;
}

/** A running gateway. */
export interface RunningGateway {
  readonly context: GatewayContext;
  /** Brings changed settings into force, as far as a running host can. */
  reload(settings: GatewaySettings): void;
  /** Serves what has begun, takes nothing new, and closes. */
  stop(): Promise<void>;
}

/** An outage of the store that is shorter lets no entry lapse. */
const LAPSE_AFTER_MS = 1000;
/** Living servers are registered again this long after an outage. */
const RETURN_MS = 1900;
const ROLLOUT_TICK_MS = 200;
/** Reading before any was measured. */
const INITIAL_READ_MS_PER_TOKEN = 0.02;

/**
 * Starts the servers of a gateway.
 *
 * @example
 * ```ts
 * const gateway = await startGateway(parts);
 * await gateway.stop();
 * ```
 */
export async function startGateway(
  parts: GatewayParts,
): Promise<RunningGateway> {
  const {settings, logger, metrics} = parts;
  let isStopping = false;
  const routing = RoutingState.create(logger);
  const servers = ServerTable.create();
  const pools = ServerPools.create(metrics);
  const hosts = HostRegistry.create({
    ...parts,
    kind: parts.kinds.hosts,
    host: settings.host,
    address: formatAddress(settings.listen.hosts),
  });
  const loads: HostMessenger = HostMessenger.create({
    ...parts,
    listen: settings.listen.hosts,
    hosts,
    servers,
    onSample: sample => rollouts.recordRemote(sample),
    onStoreVersion: (kind, version) =>
      versionTracker.recordRemoteVersion(kind, version),
  });
  const versionTracker = StoreVersionTracker.create({
    logger,
    announce: (kind, version) => loads.announceStoreVersion(kind, version),
  });
  const rollouts = RolloutController.create({
    stateWriter: createStoredStateWriter(
      parts.store,
      parts.declarations,
      logger,
    ),
    logger,
    bounds: settings.rollouts,
    sessionMs: settings.rollouts.sessionMs,
    random: parts.random,
    countHosts: () => hosts.count,
    onNewSample: sample => loads.announceSample(sample),
  });
  const context: GatewayContext = {
    ...parts,
    routing,
    servers,
    pools,
    versions: rollouts,
    budgets: RepeatBudgets.create(settings.repeats, hosts),
    hosts,
    loads,
    speeds: PrefillTimeEstimator.create({
      initialMsPerToken: INITIAL_READ_MS_PER_TOKEN,
    }),
    writeSpeeds: DecodeTimeEstimator.create(),
    isStopping: () => isStopping,
  };
  const watching = new AbortController();
  const callers = createCallerServer(context);
  const directory = ServerDirectory.create(servers, pools, logger, {
    lapseAfterMs: LAPSE_AFTER_MS,
    returnMs: RETURN_MS,
  });
  const follower = followStore({
    ...parts,
    routing,
    directory,
    rollouts,
    versionTracker,
    countHosts: () => hosts.count,
    signal: watching.signal,
  });
  const ticking = setInterval(() => rollouts.tick(), ROLLOUT_TICK_MS);
  hosts.run(watching.signal).catch((error: unknown) => {
    logger.error('host_registry_fault', {message: String(error)});
  });
  const readiness = createReadinessServer(
    () => !isStopping && follower.isSynced(),
  );
  const metricsServer = createMetricsServer(metrics);
  routing.onChange(({snapshot}) => {
    applyCallerLimits(callers, snapshot.limits);
    for (const {name, kvCacheTokens: memoryTokens} of snapshot.services) {
      if (memoryTokens !== undefined)
        servers.setKvCacheTokens(name, memoryTokens);
    }
  });
  await listen(callers, settings.listen.callers);
  await listen(readiness, settings.listen.readiness);
  await listen(metricsServer, settings.listen.metrics);
  logger.info('gateway_started', {
    callers: formatAddress(settings.listen.callers),
    readiness: formatAddress(settings.listen.readiness),
    metrics: formatAddress(settings.listen.metrics),
  });
  let stopGraceMs = settings.stopGraceMs;
  const reload = (changed: GatewaySettings): void => {
    stopGraceMs = changed.stopGraceMs;
    context.budgets.configure(changed.repeats);
    rollouts.configure(changed.rollouts);
    logger.info('settings_reloaded', {
      needsRestart: !isSameListening(settings, changed),
      repeatRatio: changed.repeats.ratio,
      exposureShare: changed.rollouts.exposureShare,
      stopGraceMs,
    });
  };
  const stop = async (): Promise<void> => {
    isStopping = true;
    logger.info('gateway_stopping', {graceMs: stopGraceMs});
    await stopCallers(callers, stopGraceMs);
    watching.abort();
    clearInterval(ticking);
    pools.closeAll();
    loads.close();
    for (const server of [readiness, metricsServer]) {
      server.close();
      server.closeAllConnections();
    }
    logger.info('gateway_stopped');
  };
  return {context, reload, stop};
}

async function listen(server: Server, where: ListenAddress): Promise<void> {
  server.listen(where.port, where.address);
  await once(server, 'listening');
}

function formatAddress({address, port}: ListenAddress): string {
  return `${address}:${port}`;
}

/** Addresses and the store are taken up by the next start only. */
function isSameListening(a: GatewaySettings, b: GatewaySettings): boolean {
  return (
    a.storeAddress === b.storeAddress &&
    JSON.stringify(a.listen) === JSON.stringify(b.listen)
  );
}
