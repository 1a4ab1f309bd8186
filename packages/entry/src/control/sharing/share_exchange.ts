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
import type {MemberStatus} from '../rules_keeper.js';
import type {PeerTransports} from '../peering/peer_transports.js';

const PERIOD_MS = 1000;
const JITTER = 0.2;
/** Part of the period after which a peer is called again. */
const DUE_PART = 0.75;
const DEFAULT_FANOUT = 3;
/** After so many periods peers are told everything again. */
const REFRESH_PERIODS = 30;

/** What a peer lacks of the evidence. */
export interface FactsQuery {
  /** Evidence up to this revision has been acknowledged by the peer. */
  readonly afterRevision: number;
  /** `own` when the peer hears the other entries itself. */
  readonly scope: DeltaScope;
}

/** Options of {@link startShareExchange}. */
export interface ShareExchangeOptions {
  readonly directory: PeerDirectory;
  readonly transports: PeerTransports;
  readonly logger: Logger;
  /** The facts of this entry that a peer lacks. */
  readonly collect: (query: FactsQuery) => SharedFacts;
  /** Takes in the facts of another entry. */
  readonly merge: (facts: SharedFacts) => void;
  /** Called before each period's exchanges. */
  readonly onPeriod: () => void;
  /** Uniform between 0 and 1. */
  readonly random: () => number;
  /** Peers told in each period; 3. */
  readonly fanout?: number;
}

/** The exchange of facts between entries. */
export interface ShareExchange {
  readonly routes: Routes;
  /** Tells every live peer at once, for facts that must not wait. */
  broadcast(): Promise<void>;
  stop(): void;
}

/**
 * Starts to tell some peers in each period what this entry knows.
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
  /** Revision of the own evidence that a run of a peer is known to have. */
  const acknowledged = new Map<string, number>();
  /** Revision of a peer's evidence that was taken in. */
  const seen = new Map<string, number>();
  /** When facts were last exchanged with a run of a peer. */
  const exchangedAtMs = new Map<string, number>();
  let periodCount = 0;
  let timer: NodeJS.Timeout | undefined;
  let isStopped = false;

  // At first contact a peer gets all rows, also those of entries that ended.
  function resolveQuery(member: string): FactsQuery {
    const afterRevision = acknowledged.get(member) ?? 0;
    const isMesh = directory.listLivePeers().length <= fanout;
    return {afterRevision, scope: isMesh && afterRevision > 0 ? 'own' : 'all'};
  }

  async function tell(peer: MemberStatus): Promise<void> {
    const address = peer.peerAddress;
    const member = formatMember(peer);
    const facts = collect(resolveQuery(member));
    const share = createShareClient(transports.resolve(address));
    try {
      const theirs = await share(facts, seen.get(member) ?? 0);
      takeIn(member, theirs);
      acknowledged.set(member, facts.evidence.revision);
    } catch (error) {
      logger.debug('share_failed', {address, reason: String(error)});
    }
  }

  function takeIn(member: string, facts: SharedFacts): void {
    merge(facts);
    seen.set(member, facts.evidence.revision);
    exchangedAtMs.set(member, performance.now());
  }

  // An exchange tells both sides, so that a peer that has just called needs
  // no call in return.
  function isDue(peer: MemberStatus): boolean {
    const atMs = exchangedAtMs.get(formatMember(peer)) ?? -Infinity;
    return performance.now() - atMs >= PERIOD_MS * DUE_PART;
  }

  async function tellSome(): Promise<void> {
    periodCount += 1;
    if (periodCount % REFRESH_PERIODS === 0) {
      acknowledged.clear();
      seen.clear();
      exchangedAtMs.clear();
    }
    const due = directory.listLivePeers().filter(isDue);
    await Promise.all(sample(due, fanout, random).map(tell));
  }

  function schedule(): void {
    if (isStopped) return;
    const delayMs = PERIOD_MS * (1 + JITTER * (random() - 0.5));
    timer = setTimeout(() => {
      options.onPeriod();
      void tellSome().finally(schedule);
    }, delayMs);
  }

  schedule();
  return {
    routes: router => {
      router.service(
        ShareService,
        createShareHandlers((facts, seenRevision) => {
          const {member} = facts.limitUse;
          takeIn(member, facts);
          acknowledged.set(member, seenRevision);
          return collect(resolveQuery(member));
        }),
      );
    },
    async broadcast() {
      const peers = directory.listLivePeers();
      await Promise.all(peers.map(tell));
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
  const left = [...items];
  const chosen: T[] = [];
  while (chosen.length < count && left.length > 0) {
    chosen.push(...left.splice(Math.floor(random() * left.length), 1));
  }
  return chosen;
}
