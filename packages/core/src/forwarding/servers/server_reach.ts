interface ServiceReach {
  /** Servers to which no connection was made since the last answer of any. */
  readonly unreachedIds: Set<string>;
  nextProbeMs: number;
}

/** Servers in a row without a connection that make a service unreachable. */
const UNREACHED_SERVERS = 3;
const PROBE_PERIOD_MS = 1000;

/**
 * Knows which services this host has lost its links to. A service is cut off
 * once no connection to several of its servers, or to all, could be made since
 * one has answered; then other hosts relay its requests.
 */
export class ServerReach {
  private readonly services = new Map<string, ServiceReach>();

  private constructor() {}

  /**
   * @example
   * ```ts
   * const reach = ServerReach.create();
   * reach.recordUnreached('app', 'i-1');
   * reach.isCutOff('app', 1); // true
   * ```
   */
  static create(): ServerReach {
    return new ServerReach();
  }

  /**
   * Records that a server has answered, or taken a connection.
   *
   * @returns true if the service was cut off until now.
   */
  recordReached(service: string, serverCount: number): boolean {
    const wasCutOff = this.isCutOff(service, serverCount);
    this.services.delete(service);
    return wasCutOff;
  }

  /** Records that no connection could be made to a server. */
  recordUnreached(service: string, serverId: string): void {
    const known = this.services.get(service);
    const reach = known ?? {
      unreachedIds: new Set(),
      nextProbeMs: -Infinity,
    };
    reach.unreachedIds.add(serverId);
    this.services.set(service, reach);
  }

  /** Lists the services that are cut off. */
  listCutOff(countServers: (service: string) => number): readonly string[] {
    return [...this.services.keys()].filter(service =>
      this.isCutOff(service, countServers(service)),
    );
  }

  /** Lists the cut-off services of which a server is to be tried now. */
  takeDueProbes(
    countServers: (service: string) => number,
    nowMs: number,
  ): readonly string[] {
    const due = [...this.services].filter(
      ([service, reach]) =>
        nowMs >= reach.nextProbeMs &&
        this.isCutOff(service, countServers(service)),
    );
    for (const [, reach] of due) reach.nextProbeMs = nowMs + PROBE_PERIOD_MS;
    return due.map(([service]) => service);
  }

  /** True if no connection to servers of the service can be made. */
  isCutOff(service: string, serverCount: number): boolean {
    const unreached = this.services.get(service)?.unreachedIds.size ?? 0;
    return (
      unreached > 0 && unreached >= Math.min(UNREACHED_SERVERS, serverCount)
    );
  }
}
