import type {MemberStatus, RulesKeeper} from '../rules_keeper.js';

const LIVE_AGE_MS = 4000;

/** The other members that this entry has heard lately. */
export interface PeerDirectory {
  listLivePeers(): readonly MemberStatus[];
  /** A live peer, of another failure domain where there is one. */
  choosePeerInOtherDomain(
    excludedHosts: ReadonlySet<string>,
  ): MemberStatus | undefined;
}

/** Options of {@link createPeerDirectory}. */
export interface PeerDirectoryOptions {
  readonly keeper: RulesKeeper;
  readonly host: string;
  readonly failureDomain: string;
  /** Uniform between 0 and 1. */
  readonly random: () => number;
}

/**
 * Creates the view of the other members for hand-offs and exchanges.
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
    options.keeper
      .status()
      .members.filter(
        ({host, heardAgeMs}) =>
          host !== options.host &&
          heardAgeMs !== undefined &&
          heardAgeMs <= LIVE_AGE_MS,
      );
  return {
    listLivePeers: listLive,
    choosePeerInOtherDomain(excludedHosts) {
      const elsewhere = listLive().filter(
        ({host, failureDomain}) =>
          failureDomain !== options.failureDomain && !excludedHosts.has(host),
      );
      return elsewhere[Math.floor(options.random() * elsewhere.length)];
    },
  };
}
