import {
  ByteBudget,
  PaceObserver,
  PrefillTimeEstimator,
  ServerReach,
  ServerTable,
  DecodeTimeEstimator,
  DurationEstimator,
} from '@anvilrudder/core';
import {BrittleServers} from './control/servers/brittle_servers.js';
import {CrashGuard} from './control/servers/crash_guard.js';
import {HomeRegions} from './control/servers/home_regions.js';
import {Evacuations} from './control/servers/evacuations.js';
import {HostRegistry} from './control/hosts/host_registry.js';
import {LoadAdmissions} from './control/scheduling/load_admissions.js';
import {HostRelay} from './control/hosts/host_relay.js';
import {HostMessenger} from './control/hosts/host_messenger.js';
import {RetryBudgets} from './control/servers/retry_budgets.js';
import {RoutingState} from './control/store/routing_state.js';
import {ServerDirectory} from './control/servers/server_directory.js';
import {ServerLimits} from './control/servers/server_limits.js';
import {ColdTokens} from './control/servers/cold_tokens.js';
import {SlowStarts} from './control/servers/slow_starts.js';
import {ServerPools} from './control/servers/server_pools.js';
import {StoreProber} from './control/store/store_prober.js';
import {StoreVersionTracker} from './control/store/store_version_tracker.js';
import {createRolloutStateWriter} from './control/rollouts/rollout_state_writer.js';
import {RolloutController} from './control/rollouts/rollout_controller.js';
import type {GatewayContext} from './gateway_context.js';
import type {GatewayDependencies} from './gateway_dependencies.js';
import {formatAddress} from './server/listen.js';
import {INITIAL_LIMITS} from './stages/forward.js';
import {MAX_LARGE_BODIES_BYTES} from './stages/read_response.js';
import {HostDrain} from './server/host_drain.js';
import {HostResources} from './server/host_resources.js';

/** Shorter outages of the store do not let registrations expire. */
const MIN_OUTAGE_MS = 1000;
/** Time within which live servers register again after an outage. */
const REREGISTRATION_MS = 1900;
/** Heartbeats that a server misses before its registration expires. */
const HEARTBEATS_BEFORE_EXPIRY = 3;
/** Prefill time per token of a model without observations. */
const INITIAL_PREFILL_MS_PER_TOKEN = 0.02;

/** The parts of a gateway between its listeners and the store. */
export interface GatewayComponents {
  readonly context: GatewayContext;
  readonly rollouts: RolloutController;
  readonly directory: ServerDirectory;
  readonly versionTracker: StoreVersionTracker;
  readonly storeProber: StoreProber;
}

/**
 * Creates the parts of a gateway, of which those that the settings do not ask for
 * are left out.
 *
 * @param isSynced true once the first lists have arrived from the store.
 * @example
 * ```ts
 * const {context} = createComponents(dependencies, () => follower.isSynced());
 * ```
 */
export function createComponents(
  dependencies: GatewayDependencies,
  isSynced: () => boolean,
): GatewayComponents {
  const {settings, logger, metrics} = dependencies;
  const drain = HostDrain.create();
  const routing = RoutingState.create(logger);
  const servers = ServerTable.create();
  const pools = ServerPools.create(metrics);
  const hosts = HostRegistry.create({
    ...dependencies,
    ...dependencies.hostIntervals,
    kind: dependencies.kinds.hosts,
    host: settings.host,
    address: formatAddress(settings.listen.hosts),
    failureDomain: settings.failureDomain,
  });
  const reach = ServerReach.create();
  const hostRelay: HostRelay = HostRelay.create({
    ...dependencies,
    hosts,
    failureDomain: settings.failureDomain,
    servers,
    reach,
    announce: notice => hostMessenger.announceReach(notice),
  });
  const paces = settings.scheduling.serverPace
    ? PaceObserver.create()
    : undefined;
  const hostMessenger: HostMessenger = HostMessenger.create({
    ...dependencies,
    paces,
    listen: settings.listen.hosts,
    hosts,
    servers,
    onBrittle: announcement => brittleServers.receive(announcement),
    onCrash: announcement => crashGuard.receive(announcement),
    onLimit: announcement => serverLimits.receive(announcement),
    ...(settings.slowStart && {
      onToken: (message, sender) => coldTokens?.receive(message, sender),
    }),
    onRollout: (member, announcement) =>
      rollouts.receiveAnnouncement(member, announcement),
    onReachNotice: (notice, sender) => hostRelay.receiveNotice(notice, sender),
    onStoreProbe: probe => storeProber.receive(probe),
    onStoreVersion: seen => versionTracker.recordRemoteVersion(seen),
  });
  const crashGuard = CrashGuard.create({
    address: formatAddress(settings.listen.hosts),
    listOtherAddresses: () => hosts.addresses,
    random: dependencies.random,
    logger,
    metrics,
    announce: (announcement, reach) =>
      hostMessenger.announceCrash(announcement, reach),
  });
  const serverLimits = ServerLimits.create({
    ...dependencies,
    servers,
    address: formatAddress(settings.listen.hosts),
    listOtherAddresses: () => hosts.addresses,
    announce: (announcement, reach) =>
      hostMessenger.announceLimit(announcement, reach),
  });
  const slowStarts =
    settings.slowStart &&
    SlowStarts.create({
      ...dependencies,
      bounds: settings.slowStart,
      servers,
      address: formatAddress(settings.listen.hosts),
      listOtherAddresses: () => hosts.addresses,
      hasHostList: () => hosts.hasHostList,
      readHeardMs: () => hostMessenger.heardMs,
      readUnlistedHeardMs: () => hostMessenger.unlistedHeardMs,
      findService: name => routing.current?.findService(name),
    });
  const coldTokens =
    slowStarts &&
    ColdTokens.create({
      ...dependencies,
      servers,
      listCold: service => slowStarts.listCold(service),
      send: (address, message) => hostMessenger.sendToken(address, message),
    });
  const brittleServers = BrittleServers.create({
    ...dependencies,
    servers,
    address: formatAddress(settings.listen.hosts),
    listOtherAddresses: () => hosts.addresses,
    announce: (announcement, reach) =>
      hostMessenger.announceBrittle(announcement, reach),
  });
  const versionTracker = StoreVersionTracker.create({
    logger,
    era: dependencies.store.era,
    announce: seen => hostMessenger.announceStoreVersion(seen),
  });
  const storeProber = StoreProber.create({
    ...dependencies,
    smallPrefix: dependencies.kinds.hosts.prefix,
    versionTracker,
    hosts,
    announce: probe => hostMessenger.announceStoreProbe(probe),
  });
  const rollouts = RolloutController.create({
    stateWriter: createRolloutStateWriter(
      dependencies.store,
      dependencies.progressCodec,
      logger,
    ),
    logger,
    bounds: settings.rollouts,
    sessionMs: settings.rollouts.sessionMs,
    random: dependencies.random,
    countHosts: () => hosts.count,
    announce: (announcement, reach) =>
      hostMessenger.announceRollout(announcement, reach),
  });
  const evacuations =
    settings.evacuations &&
    Evacuations.create({
      ...dependencies,
      ...settings.evacuations,
      servers,
      findWatch: () =>
        versionTracker.findWatch(dependencies.kinds.evacuations.prefix),
      hasServers: isSynced,
      onEvacuationBegun: failureDomain => {
        for (const {service} of servers.listDomain(failureDomain))
          hostRelay.forgetUnreached(service);
      },
      onEvacuationEnded: failureDomain =>
        slowStarts?.assumeCold(
          servers.listDomain(failureDomain),
          'evacuationEnded',
        ),
    });
  const homeRegions =
    settings.regions &&
    HomeRegions.create(new Map(Object.entries(settings.regions)), logger);
  const context: GatewayContext = {
    ...dependencies,
    routing,
    servers,
    pools,
    versions: rollouts,
    brittleServers,
    crashGuard,
    serverLimits,
    slowStarts,
    coldTokens,
    homeRegions,
    loadAdmissions: createLoadAdmissions(dependencies),
    evacuations,
    largeBodies: ByteBudget.create(MAX_LARGE_BODIES_BYTES),
    resources:
      settings.resources &&
      HostResources.create({
        ...dependencies,
        resources: settings.resources,
        readIdleTimeoutMs: () =>
          routing.current?.snapshot.limits.idleTimeoutMs ??
          INITIAL_LIMITS.idleTimeoutMs,
      }),
    retryBudgets: RetryBudgets.create(settings.repeats, hosts),
    hosts,
    hostRelay,
    hostMessenger,
    prefillEstimator: PrefillTimeEstimator.create({
      initialMsPerToken: INITIAL_PREFILL_MS_PER_TOKEN,
    }),
    decodeEstimator: DecodeTimeEstimator.create(),
    routeDurations: DurationEstimator.create(),
    paces,
    drain,
  };
  const directory = ServerDirectory.create(servers, pools, logger, {
    minOutageMs: MIN_OUTAGE_MS,
    reregistrationMs: REREGISTRATION_MS,
    expiryMs: HEARTBEATS_BEFORE_EXPIRY * settings.heartbeatMs,
    slowStarts,
  });
  return {context, rollouts, directory, versionTracker, storeProber};
}

function createLoadAdmissions(
  dependencies: GatewayDependencies,
): LoadAdmissions | undefined {
  const {admission} = dependencies.settings.scheduling;
  return admission && LoadAdmissions.create({...dependencies, admission});
}
