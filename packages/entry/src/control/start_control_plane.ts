import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {parseRules, type MemberId, type ObjectStore} from '@anvilrudder/core';
import type {Logger, MetricRegistry} from '@anvilrudder/observability';
import {HttpObjectStore, createCountingStore} from '@anvilrudder/clients';
import type {ListedHost} from '../backends/backend_directory.js';
import type {Settings} from '../config/settings_schema.js';
import type {ClaimRunner} from '../entry_context.js';
import {resolvePeerClientTls, type TlsSource} from '../tls/index.js';
import {createRulesKeeper, type AcceptanceKeeper} from './acceptance/index.js';
import {createAuditTrail, type AuditTrail} from './audit/audit_trail.js';
import {startBilling, type Billing} from './billing/start_billing.js';
import {createClaimRunner} from './claim_runner.js';
import {createClaimCollector} from './claims/claim_collector.js';
import {createClaimManager} from './claims/claim_manager.js';
import {createDutyRunner, type DutyRunner} from './leases/duty_runner.js';
import {createLeaseManager} from './leases/lease_manager.js';
import {
  createControlRoutes,
  type VersionRulingService,
} from './operators/index.js';
import {logKeeperEvent, recordKeeperEvent} from './keeper_events.js';
import {startOrderPlans, type OrderPlans} from './orders/order_plans.js';
import type {EngineOrderClient} from './orders/rollout_runner.js';
import {
  createPeerDirectory,
  type PeerDirectory,
} from './peering/peer_directory.js';
import {startPeerServer, type Routes} from './peering/peer_server.js';
import {
  createPeerTransports,
  type PeerTransports,
} from './peering/peer_transports.js';

/** Maximum time that the start waits until the entry may serve. */
const SERVING_WAIT_MS = 10_000;
const PEER_TIMEOUT_MS = 1000;
const CLAIM_COLLECTION_PERIOD_MS = 60_000;
const STORE_METHODS = ['get', 'put', 'delete', 'list', 'watch'] as const;

/** Options of {@link startControlPlane}. */
export interface StartControlPlaneOptions {
  readonly settings: Settings;
  readonly logger: Logger;
  readonly metrics: MetricRegistry;
  /** Certificate for connections between entries; plain HTTP without it. */
  readonly tls?: TlsSource | undefined;
  /** Lists the entries in the host list, with their peer addresses. */
  readonly listEntries: () => readonly ListedHost[];
}

/** The control plane of a running entry. */
export interface ControlPlane {
  readonly member: MemberId;
  readonly store: ObjectStore;
  readonly keeper: AcceptanceKeeper;
  readonly claims: ClaimRunner;
  readonly billing: Billing;
  readonly audit: AuditTrail;
  readonly directory: PeerDirectory;
  readonly transports: PeerTransports;
  readonly peerAddress: string;
  /** Replaces the operators whose tokens are accepted. */
  setOperators(operators: Settings['operators']): void;
  /** Adds a service to the server for other entries. */
  mount(routes: Routes): void;
  /** Sets the handler of operators' requests about model versions. */
  setVersionRulingService(versions: VersionRulingService): void;
  /** Starts to carry out orders to engines, such as rollout steps. */
  startOrders(engines: EngineOrderClient): void;
  stop(): Promise<void>;
}

/**
 * Starts the control plane of an entry and its server for other entries and
 * operators. Waits a limited time until the entry may serve.
 *
 * @example
 * ```ts
 * const control = await startControlPlane({settings, logger, metrics, listEntries});
 * ```
 */
export async function startControlPlane(
  options: StartControlPlaneOptions,
): Promise<ControlPlane> {
  const {settings, logger, metrics} = options;
  const member = {host: settings.host, incarnation: randomUUID()};
  const store = createStore(settings, metrics);
  const {tls} = options;
  const peerTls = tls && (() => resolvePeerClientTls(tls.material));
  const peers = await startPeerServer({...settings.peer, logger, tls});
  const peerAddress = settings.peer.advertise ?? peers.address;
  const audit = createAuditTrail({store});
  const keeper: AcceptanceKeeper = createRulesKeeper({
    self: {...member, failureDomain: settings.failureDomain, peerAddress},
    store,
    tls: peerTls,
    parse: parseRules,
    initialRules: readInitialRules(settings),
    listSeedAddresses: () => [
      ...settings.peer.seeds,
      ...options.listEntries().map(({address}) => address),
    ],
    listUnlistedHosts: () => listUnlistedHosts(options.listEntries(), keeper),
    storeTimeoutMs: settings.platform.callTimeoutMs,
    acceptance: {freshnessMs: settings.rules.freshnessMs},
    onEvent: event => {
      logKeeperEvent(logger, event);
      recordKeeperEvent(audit, settings.host, event);
    },
  });
  keeper.trackPeerServer(peers.server);
  const transports = createPeerTransports({
    timeoutMs: PEER_TIMEOUT_MS,
    tls: peerTls,
  });
  const directory = createPeerDirectory({
    keeper,
    host: settings.host,
    failureDomain: settings.failureDomain,
    random: Math.random,
  });
  const billing = startBilling({
    store,
    member,
    directory,
    transports,
    logger,
    metrics,
  });
  const claimManager = createClaimManager({
    store,
    member,
    isMemberGone: holder => isFormerMember(keeper, holder),
  });
  const claimCollection = startClaimCollection(store, member, logger);
  let versionRulings: VersionRulingService | undefined;
  let orders: OrderPlans | undefined;
  const createOperatorRoutes = (operators: Settings['operators']): Routes =>
    createControlRoutes({
      host: settings.host,
      keeper,
      audit,
      versions: () => versionRulings,
      orders: () => orders,
      operatorTokens: operators.map(({name, tokenSha256}) => ({
        name,
        sha256: tokenSha256,
      })),
    });
  let operatorRoutes = createOperatorRoutes(settings.operators);
  const routes: Routes[] = [keeper.routes, billing.routes];
  const mountAll = (): void => peers.mount([...routes, operatorRoutes]);
  mountAll();
  const isServing = await keeper.waitUntilServing(SERVING_WAIT_MS);
  if (!isServing) logger.warn('rules_not_confirmed', {});
  return {
    member,
    store,
    keeper,
    claims: createClaimRunner(claimManager),
    billing,
    audit,
    directory,
    transports,
    peerAddress,
    setVersionRulingService(versions) {
      versionRulings = versions;
    },
    startOrders(engines) {
      orders = startOrderPlans({
        store,
        member,
        engines,
        audit,
        logger,
        readRevision: () => keeper.status().revision,
      });
    },
    setOperators(operators) {
      operatorRoutes = createOperatorRoutes(operators);
      mountAll();
    },
    mount(added) {
      routes.push(added);
      mountAll();
    },
    async stop() {
      claimManager.stop();
      await claimCollection.stop();
      await orders?.stop();
      await billing.stop();
      await keeper.stop();
      audit.stop();
      transports.close();
      peers.stop();
    },
  };
}

// A host list without entries, such as one of backend servers only, does not
// show which entries were removed from the deployment.
function listUnlistedHosts(
  entries: readonly ListedHost[],
  keeper: AcceptanceKeeper,
): readonly string[] {
  if (entries.length === 0) return [];
  const listed = new Set(entries.map(({host}) => host));
  return keeper
    .status()
    .members.map(({host}) => host)
    .filter(host => !listed.has(host));
}

function createStore(settings: Settings, metrics: MetricRegistry): ObjectStore {
  const {store, counters} = createCountingStore(
    HttpObjectStore.create({
      baseUrl: settings.platform.objectsUrl,
      timeoutMs: settings.platform.callTimeoutMs,
    }),
  );
  for (const method of STORE_METHODS) {
    metrics.registerGauge(
      `object_api_${method}_calls`,
      () => counters().calls[method],
    );
  }
  return store;
}

function readInitialRules(settings: Settings): string | undefined {
  const {initialFile} = settings.rules;
  return initialFile === undefined
    ? undefined
    : readFileSync(initialFile, 'utf8');
}

// An incarnation that is no longer a member was replaced, has left, or was
// removed after a long silence. If it is still running, the only harm is that
// callers get `outcome_unknown` although its call is still in progress.
function isFormerMember(keeper: AcceptanceKeeper, holder: MemberId): boolean {
  const {members} = keeper.status();
  const isMember = members.some(
    ({incarnation}) => incarnation === holder.incarnation,
  );
  return members.length > 0 && !isMember;
}

function startClaimCollection(
  store: ObjectStore,
  member: MemberId,
  logger: Logger,
): DutyRunner {
  const collector = createClaimCollector({store, member});
  const duty = createDutyRunner({
    lease: createLeaseManager({store, member, duty: 'claims'}),
    intervalMs: CLAIM_COLLECTION_PERIOD_MS,
    run: () => collector.collect(),
    onError: error =>
      logger.warn('claim_collection_failed', {reason: String(error)}),
  });
  duty.start();
  return duty;
}
