import {hasRestrictions} from '@anvilrudder/core';
import type {GatewaySettings} from './config/settings.js';
import {followStore, type StoreFollower} from './control/store/follow_store.js';
import type {GatewayContext} from './gateway_context.js';
import type {GatewayDependencies} from './gateway_dependencies.js';
import {createComponents, type GatewayComponents} from './create_components.js';
import {
  applyCallerLimits,
  createCallerServer,
  createRelayServer,
} from './server/caller_server.js';
import {formatAddress, listen, needsRestart} from './server/listen.js';
import {
  createMetricsServer,
  createReadinessServer,
} from './server/status_servers.js';
import {
  computeDrainMs,
  drainCallerServer,
} from './server/drain_caller_server.js';

/** A running gateway. */
export interface RunningGateway {
  readonly context: GatewayContext;
  /** Applies changed settings, except for those that need a restart. */
  reload(settings: GatewaySettings): void;
  /** Drains the caller server, then closes all servers and connections. */
  stop(): Promise<void>;
}

const TICK_MS = 200;

/**
 * Starts the servers of a gateway.
 *
 * @example
 * ```ts
 * const gateway = await startGateway(dependencies);
 * await gateway.stop();
 * ```
 */
export async function startGateway(
  dependencies: GatewayDependencies,
): Promise<RunningGateway> {
  const {settings, logger, metrics} = dependencies;
  const components: GatewayComponents = createComponents(dependencies, () =>
    follower.isSynced(),
  );
  const {context, rollouts, directory, versionTracker, storeProber} =
    components;
  const {routing, servers, pools, hosts, hostRelay, hostMessenger, drain} =
    context;
  const {crashGuard, serverLimits, slowStarts, evacuations, homeRegions} =
    context;
  const abortController = new AbortController();
  const callerServer = createCallerServer(context);
  const relayServer = createRelayServer(context);
  const follower: StoreFollower = followStore({
    ...dependencies,
    routing,
    directory,
    rollouts,
    evacuations,
    versionTracker,
    hosts,
    signal: abortController.signal,
  });
  const tickTimer = setInterval(() => {
    rollouts.tick();
    crashGuard.tick();
    serverLimits.tick();
    slowStarts?.refresh();
    hostRelay.tick();
    evacuations?.tick();
  }, TICK_MS);
  hosts.run(abortController.signal).catch((error: unknown) => {
    logger.error('host_registry_fault', {message: String(error)});
  });
  storeProber.run(abortController.signal).catch((error: unknown) => {
    logger.error('store_prober_fault', {message: String(error)});
  });
  const readinessServer = createReadinessServer(
    () => !drain.isDraining && follower.isSynced(),
  );
  const metricsServer = createMetricsServer(metrics);
  let areRegionsIgnored = false;
  routing.onChange(({snapshot}) => {
    if (homeRegions !== undefined) homeRegions.logUnknown(snapshot);
    else if (hasRestrictions(snapshot) && !areRegionsIgnored) {
      areRegionsIgnored = true;
      logger.warn('regions_ignored', {version: snapshot.version});
    }
    applyCallerLimits(callerServer.server, snapshot.limits);
    relayServer.server.headersTimeout = snapshot.limits.headerTimeoutMs;
    for (const {name, kvCacheTokens: memoryTokens} of snapshot.services) {
      if (memoryTokens !== undefined)
        servers.setKvCacheTokens(name, memoryTokens);
    }
    slowStarts?.refresh();
  });
  await listen(callerServer.server, settings.listen.callers);
  await listen(relayServer.server, settings.listen.hosts);
  await listen(readinessServer, settings.listen.readiness);
  await listen(metricsServer, settings.listen.metrics);
  logger.info('gateway_started', {
    callers: formatAddress(settings.listen.callers),
    readiness: formatAddress(settings.listen.readiness),
    metrics: formatAddress(settings.listen.metrics),
  });
  let stopGraceMs = settings.stopGraceMs;
  const reload = (changed: GatewaySettings): void => {
    stopGraceMs = changed.stopGraceMs;
    context.retryBudgets.configure(changed.repeats);
    rollouts.configure(changed.rollouts);
    if (changed.regions)
      homeRegions?.configure(new Map(Object.entries(changed.regions)));
    if (changed.slowStart) slowStarts?.configure(changed.slowStart);
    logger.info('settings_reloaded', {
      needsRestart: needsRestart(settings, changed),
      repeatRatio: changed.repeats.ratio,
      exposureShare: changed.rollouts.exposureShare,
      stopGraceMs,
    });
  };
  const stop = async (): Promise<void> => {
    const drainMs = computeDrainMs(stopGraceMs);
    drain.begin(drainMs);
    logger.info('gateway_stopping', {graceMs: stopGraceMs});
    const stopTimer = setTimeout(() => drain.stopAll(), drainMs);
    await Promise.all([
      drainCallerServer(callerServer, stopGraceMs),
      drainCallerServer(relayServer, stopGraceMs),
    ]);
    clearTimeout(stopTimer);
    abortController.abort();
    clearInterval(tickTimer);
    pools.closeAll();
    hostRelay.closeAll();
    hostMessenger.close();
    context.resources?.close();
    for (const server of [readinessServer, metricsServer]) {
      server.close();
      server.closeAllConnections();
    }
    logger.info('gateway_stopped');
  };
  return {context, reload, stop};
}
