import {
  resolveShard,
  type BillingRecord,
  type MemberId,
  type ObjectStore,
} from '@anvilrudder/core';
import type {Logger, MetricRegistry} from '@anvilrudder/observability';
import {
  LedgerService,
  createHoldClient,
  createLedgerHandlers,
} from '@anvilrudder/peers';
import {createDutyRunner} from '../leases/duty_runner.js';
import {createLeaseManager} from '../leases/lease_manager.js';
import type {PeerDirectory} from '../peering/peer_directory.js';
import type {Routes} from '../peering/peer_server.js';
import type {PeerTransports} from '../peering/peer_transports.js';
import {createBillingCompactor} from './billing_compactor.js';
import {createBillingJournal} from './billing_journal.js';
import type {BillingPeer} from './billing_peer.js';
import {createHeldCopyBuffer} from './held_copy_buffer.js';
import {LostPeerDetector} from './lost_peer_detector.js';

const SHARD_COUNT = 1;
const COMPACT_PERIOD_MS = 5000;
const LOST_CHECK_PERIOD_MS = 1000;
/** Silence after which the held records of a peer are written for it. */
const LOST_AFTER_MS = 15_000;

/** Options of {@link startBilling}. */
export interface StartBillingOptions {
  readonly store: ObjectStore;
  readonly member: MemberId;
  readonly directory: PeerDirectory;
  readonly transports: PeerTransports;
  readonly logger: Logger;
  readonly metrics: MetricRegistry;
}

/** The billing of one entry. */
export interface Billing {
  readonly routes: Routes;
  /** Resolves once the loss of this host no longer loses the record. */
  record(record: BillingRecord): Promise<void>;
  /** True when new requests must be refused until records are durable. */
  isFull(): boolean;
  stop(): Promise<void>;
}

/**
 * Starts the journal, the copies held for peers and the compaction.
 *
 * @example
 * ```ts
 * const billing = startBilling(options);
 * await billing.record(record);
 * ```
 */
export function startBilling(options: StartBillingOptions): Billing {
  const {store, member, directory, transports, logger, metrics} = options;
  const held = createHeldCopyBuffer({store});
  const choosePeer = (
    excludedHosts: ReadonlySet<string>,
  ): BillingPeer | undefined => {
    const peer = directory.choosePeerInOtherDomain(excludedHosts);
    if (peer === undefined) return undefined;
    const hold = createHoldClient(transports.resolve(peer.peerAddress));
    return {host: peer.host, hold};
  };
  const journal = createBillingJournal({
    store,
    incarnation: member.incarnation,
    choosePeer,
    shardCount: SHARD_COUNT,
  });
  const shard = resolveShard(member.incarnation, SHARD_COUNT);
  const compactor = createBillingCompactor({store, member, shard});
  const compaction = createDutyRunner({
    lease: createLeaseManager({store, member, duty: `billing-${shard}`}),
    intervalMs: COMPACT_PERIOD_MS,
    run: () => compactor.compact(),
    onError: error =>
      logger.warn('billing_compaction_failed', {reason: String(error)}),
  });
  compaction.start();
  metrics.registerGauge(
    'billing_pending_records',
    () => journal.status().pendingRecords,
  );
  metrics.registerGauge('billing_held_records', () => held.recordCount);

  const lostPeerDetector = LostPeerDetector.create(LOST_AFTER_MS);
  const hostByIncarnation = new Map<string, string>();
  const lostTimer = setInterval(() => {
    const live = directory.listLivePeers();
    for (const peer of live) hostByIncarnation.set(peer.incarnation, peer.host);
    const lost = lostPeerDetector.detect(
      performance.now(),
      live.map(({incarnation}) => incarnation),
      held.listIncarnations(),
    );
    for (const incarnation of lost) {
      const host = hostByIncarnation.get(incarnation) ?? '';
      hostByIncarnation.delete(incarnation);
      logger.info('billing_hand_off', {host, incarnation});
      void held.handOff(incarnation);
      void journal.handleHostLost(host);
    }
  }, LOST_CHECK_PERIOD_MS);

  return {
    routes: router => {
      router.service(
        LedgerService,
        createLedgerHandlers(request => held.hold(request)),
      );
    },
    async record(record) {
      const protection = await journal.commit(record);
      metrics.count('billing_records_total', {protection});
    },
    isFull: () => journal.status().isFull,
    async stop() {
      clearInterval(lostTimer);
      const isFlushed = await journal.flush();
      if (!isFlushed) logger.warn('billing_flush_failed', {});
      await held.handOffAll();
      journal.stop();
      held.stop();
      await compaction.stop();
    },
  };
}
