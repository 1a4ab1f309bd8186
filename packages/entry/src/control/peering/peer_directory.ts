import type {MemberStatus, RulesManager} from '../rules_manager.js';

/** A member counts as live if it was heard from within this time. */
const MAX_LIVE_AGE_MS = 4000;

/** The other members that this entry has heard from recently. */
export interface PeerDirectory {
  /** Lists the live members on other hosts. */
  listLivePeers(): readonly MemberStatus[];
  /**
   * Chooses a random live peer in another failure domain whose host is not
   * excluded, or returns undefined if there is none.
   */
  choosePeerInOtherDomain(
    excludedHosts: ReadonlySet<string>,
  ): MemberStatus | undefined;
}

/** Options of {@link createPeerDirectory}. */
export interface PeerDirectoryOptions {
  readonly rulesManager: RulesManager;
  readonly host: string;
  readonly failureDomain: string;
  /** Random numbers in [0, 1). */
  readonly random: () => number;
}

/**
 * Creates a directory of the peers that records and limits are shared with.
 *
 * @example
 * ```ts
 * const peer = directory.choosePeerInOtherDomain(new Set());
 * ```
 */
export function createPeerDirectory(
  options: PeerDirectoryOptions,
): PeerDirectory {
  const listLive = (): readonly MemberStatus[] =>
    options.rulesManager
      .status()
      .members.filter(
        ({host, heardAgeMs}) =>
          host !== options.host &&
          heardAgeMs !== undefined &&
          heardAgeMs <= MAX_LIVE_AGE_MS,
      );
  return {
    listLivePeers: listLive,
    choosePeerInOtherDomain(excludedHosts) {
      const candidates = listLive().filter(
        ({host, failureDomain}) =>
          failureDomain !== options.failureDomain && !excludedHosts.has(host),
      );
      return candidates[Math.floor(options.random() * candidates.length)];
    },
  };
}
