import type {Logger} from '@anvilrudder/observability';
import {
  ShareService,
  createShareClient,
  createShareHandlers,
  type SharedFacts,
} from '@anvilrudder/peers';
import type {PeerDirectory} from '../peering/peer_directory.js';
import type {Routes} from '../peering/peer_server.js';
import type {PeerTransports} from '../peering/peer_transports.js';

const PERIOD_MS = 1000;
const JITTER = 0.2;
const DEFAULT_FANOUT = 3;

/** Options of {@link startShareExchange}. */
export interface ShareExchangeOptions {
  readonly directory: PeerDirectory;
  readonly transports: PeerTransports;
  readonly logger: Logger;
  /** The facts of this entry. */
  readonly collect: () => SharedFacts;
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
  let timer: NodeJS.Timeout | undefined;
  let isStopped = false;

  async function tell(address: string): Promise<void> {
    try {
      merge(await createShareClient(transports.resolve(address))(collect()));
    } catch (error) {
      logger.debug('share_failed', {address, reason: String(error)});
    }
  }

  async function tellSome(): Promise<void> {
    const addresses = directory.listLive().map(peer => peer.peerAddress);
    const fanout = options.fanout ?? DEFAULT_FANOUT;
    await Promise.all(sample(addresses, fanout, random).map(tell));
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
        createShareHandlers(facts => {
          merge(facts);
          return collect();
        }),
      );
    },
    async broadcast() {
      const peers = directory.listLive();
      await Promise.all(peers.map(peer => tell(peer.peerAddress)));
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
