/** How asking a host to relay a request ended, if it did not send the request. */
export type RelayFailure =
  /** It could not be reached. */
  | 'notAsked'
  /** It has lost its links to the service. */
  | 'unreached'
  /** It reaches the service, but has not sent the request. */
  | 'unavailable';

/** Most hosts that a request asks, so that it is refused soon if none sends it. */
const MAX_ASKED_HOSTS = 6;
/**
 * Most of them by how they failed: a host that can't be reached costs a connect
 * that hangs, and beside two without room another one hardly finds more.
 */
const MAX_FAILURES: Readonly<Record<RelayFailure, number>> = {
  notAsked: 3,
  unreached: MAX_ASKED_HOSTS,
  unavailable: 2,
};

const RELAY_FAILURES: readonly RelayFailure[] = [
  'notAsked',
  'unreached',
  'unavailable',
];

/** The hosts that one request has asked, and whether it may ask another one. */
export class RelaySearch {
  private readonly askedAddresses = new Set<string>();
  private readonly failureCounts: Record<RelayFailure, number> = {
    notAsked: 0,
    unreached: 0,
    unavailable: 0,
  };

  private constructor() {}

  /**
   * @example
   * ```ts
   * const search = RelaySearch.create();
   * search.recordFailure('10.0.0.2:7000', 'unreached');
   * search.mayAsk; // true
   * ```
   */
  static create(): RelaySearch {
    return new RelaySearch();
  }

  /** Addresses of the hosts that have been asked. */
  get asked(): ReadonlySet<string> {
    return this.askedAddresses;
  }

  get mayAsk(): boolean {
    return (
      this.askedAddresses.size < MAX_ASKED_HOSTS &&
      RELAY_FAILURES.every(
        failure => this.failureCounts[failure] < MAX_FAILURES[failure],
      )
    );
  }

  /** True if a host has got the request and has not sent it. */
  get wasRefused(): boolean {
    const {unreached, unavailable} = this.failureCounts;
    return unreached + unavailable > 0;
  }

  recordFailure(address: string, failure: RelayFailure): void {
    this.askedAddresses.add(address);
    this.failureCounts[failure] += 1;
  }
}
