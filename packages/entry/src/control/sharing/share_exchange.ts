import {formatMember, type DeltaScope} from '@anvilrudder/core';
import type {Logger} from '@anvilrudder/observability';
import {
  ShareService,
  createShareClient,
  createShareHandlers,
  type SharedFacts,
} from '@anvilrudder/peers';
import type {PeerDirectory} from '../peering/peer_directory.js';
import type {Routes} from '../peering/peer_server.js';
import type {MemberStatus} from '../rules_manager.js';
import type {PeerTransports} from '../peering/peer_transports.js';

const EXCHANGE_PERIOD_MS = 1000;
const PERIOD_JITTER = 0.2;
/** Share of the period after which a peer is called again. */
const DUE_PERIOD_SHARE = 0.75;
const DEFAULT_FANOUT = 3;
/** Number of periods after which peers exchange all evidence again. */
const FULL_EXCHANGE_PERIODS = 30;

/** Selects the evidence that a peer lacks. */
export interface FactsQuery {
  /** The peer has acknowledged the evidence up to this revision. */
  readonly afterRevision: number;
  /** `own` when the peer gets the evidence of other entries from them. */
  readonly scope: DeltaScope;
}

/** Options of {@link startShareExchange}. */
export interface ShareExchangeOptions {
  readonly directory: PeerDirectory;
  readonly transports: PeerTransports;
  readonly logger: Logger;
  /** Returns the facts of this entry that a peer lacks. */
  readonly collect: (query: FactsQuery) => SharedFacts;
  /** Merges the facts of another entry into those of this entry. */
  readonly merge: (facts: SharedFacts) => void;
  /** Called in each period before the exchanges. */
  readonly onPeriod: () => void;
  /** Uniform between 0 and 1. */
  readonly random: () => number;
  /** Maximum number of peers called in each period. Default 3. */
  readonly fanout?: number;
}

/** The periodic exchange of facts between entries. */
export interface ShareExchange {
  readonly routes: Routes;
  /**
   * Exchanges facts with every live peer immediately, for facts that must not
   * wait for the next period.
   */
  broadcast(): Promise<void>;
  stop(): void;
}

/**
 * Starts to exchange facts with some randomly chosen peers in each period.
 *
 * @example
 * ```ts
 * const sharing = startShareExchange(options);
 * await sharing.broadcast();
 * ```
 */
export function startShareExchange(
  options: ShareExchangeOptions,
): ShareExchange {
  const {directory, transports, collect, merge, random, logger} = options;
  const fanout = options.fanout ?? DEFAULT_FANOUT;
  /** By member: revision of the own evidence that it has acknowledged. */
  const acknowledgedRevisions = new Map<string, number>();
  /** By member: revision of its evidence that was merged last. */
  const mergedRevisions = new Map<string, number>();
  /** By member: time of the last exchange. */
  const lastExchangeMs = new Map<string, number>();
  let periodCount = 0;
  let timer: NodeJS.Timeout | undefined;
  let isStopped = false;

  // In the first exchange a peer gets all rows, also those of entries that have
  // stopped and can no longer send them.
  function resolveQuery(member: string): FactsQuery {
    const afterRevision = acknowledgedRevisions.get(member) ?? 0;
    const isFullMesh = directory.listLivePeers().length <= fanout;
    return {
      afterRevision,
      scope: isFullMesh && afterRevision > 0 ? 'own' : 'all',
    };
  }

  async function exchangeWith(peer: MemberStatus): Promise<void> {
    const address = peer.peerAddress;
    const member = formatMember(peer);
    const facts = collect(resolveQuery(member));
    const share = createShareClient(transports.resolve(address));
    try {
      const peerFacts = await share(facts, mergedRevisions.get(member) ?? 0);
      mergeFacts(member, peerFacts);
      acknowledgedRevisions.set(member, facts.evidence.revision);
    } catch (error) {
      logger.debug('share_failed', {address, reason: String(error)});
    }
  }

  function mergeFacts(member: string, facts: SharedFacts): void {
    merge(facts);
    mergedRevisions.set(member, facts.evidence.revision);
    lastExchangeMs.set(member, performance.now());
  }

  // An exchange sends facts in both directions, so a peer that has just called
  // this entry need not be called.
  function isDue(peer: MemberStatus): boolean {
    const exchangedMs = lastExchangeMs.get(formatMember(peer)) ?? -Infinity;
    return (
      performance.now() - exchangedMs >= EXCHANGE_PERIOD_MS * DUE_PERIOD_SHARE
    );
  }

  async function exchangeWithSomePeers(): Promise<void> {
    periodCount += 1;
    if (periodCount % FULL_EXCHANGE_PERIODS === 0) {
      acknowledgedRevisions.clear();
      mergedRevisions.clear();
      lastExchangeMs.clear();
    }
    const duePeers = directory.listLivePeers().filter(isDue);
    await Promise.all(sample(duePeers, fanout, random).map(exchangeWith));
  }

  function schedule(): void {
    if (isStopped) return;
    const delayMs = EXCHANGE_PERIOD_MS * (1 + PERIOD_JITTER * (random() - 0.5));
    timer = setTimeout(() => {
      options.onPeriod();
      void exchangeWithSomePeers().finally(schedule);
    }, delayMs);
  }

  schedule();
  return {
    routes: router => {
      router.service(
        ShareService,
        createShareHandlers((facts, seenRevision) => {
          const {member} = facts.limitUse;
          mergeFacts(member, facts);
          acknowledgedRevisions.set(member, seenRevision);
          return collect(resolveQuery(member));
        }),
      );
    },
    async broadcast() {
      const peers = directory.listLivePeers();
      await Promise.all(peers.map(exchangeWith));
    },
    stop() {
      isStopped = true;
      clearTimeout(timer);
    },
  };
}

function sample<T>(
  items: readonly T[],
  count: number,
  random: () => number,
): readonly T[] {
  const remaining = [...items];
  const chosen: T[] = [];
  while (chosen.length < count && remaining.length > 0) {
    chosen.push(
      ...remaining.splice(Math.floor(random() * remaining.length), 1),
    );
  }
  return chosen;
}
