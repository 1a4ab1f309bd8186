import {
  readJson,
  sendJson,
  startHttpServer,
  type ListenOptions,
  type StandIn,
} from '../http/http_server.js';

/** A host of the deployment as the host list reports it. */
export interface HostRecord {
  readonly host: string;
  readonly role: 'engine' | 'booking' | 'rating' | 'entry';
  /** `ip:port`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly state: 'live' | 'leaving';
}

/** Faults to inject into the host list. */
export interface HostListFaults {
  /** Delay until a change is visible in the list. */
  readonly lagMs: number;
  /** Reads of the list are answered 503. */
  readonly isDown: boolean;
}

/** Settings of the host list stand-in. */
export interface HostListStandInOptions extends ListenOptions {
  /** Hosts listed at start-up. Default none. */
  readonly hosts?: readonly HostRecord[];
  /** Delay until a change is visible in the list. Default 0. */
  readonly lagMs?: number;
}

/** A running host list stand-in. */
export interface HostListStandIn extends StandIn {
  /** Replaces the list; readers see the new one after `lagMs`. */
  setHosts(hosts: readonly HostRecord[]): void;
  /** Changes the given faults and leaves the others as they are. */
  setFaults(faults: Partial<HostListFaults>): void;
}

interface TimestampedHostList {
  readonly setAtMs: number;
  readonly hosts: readonly HostRecord[];
}

/** The host list and its later versions that readers do not see yet. */
class LaggingHostList {
  private faults: HostListFaults;
  private lists: readonly TimestampedHostList[];

  constructor(hosts: readonly HostRecord[], lagMs: number) {
    this.faults = {lagMs, isDown: false};
    this.lists = [{setAtMs: -Infinity, hosts}];
  }

  get isDown(): boolean {
    return this.faults.isDown;
  }

  setFaults(faults: Partial<HostListFaults>): void {
    this.faults = {...this.faults, ...faults};
  }

  set(hosts: readonly HostRecord[]): void {
    this.prune();
    this.lists = [...this.lists, {setAtMs: performance.now(), hosts}];
  }

  listVisible(): readonly HostRecord[] {
    this.prune();
    return this.lists[0].hosts;
  }

  private prune(): void {
    const cutoffMs = performance.now() - this.faults.lagMs;
    const newestVisible = this.lists.findLastIndex(
      list => list.setAtMs <= cutoffMs,
    );
    if (newestVisible > 0) this.lists = this.lists.slice(newestVisible);
  }
}

/**
 * Starts an HTTP stand-in for the list of live and leaving hosts, which shows
 * changes with a delay.
 *
 * @example
 * ```ts
 * const list = await startHostListStandIn({lagMs: 500});
 * list.setHosts([]);
 * ```
 */
export async function startHostListStandIn(
  options: HostListStandInOptions = {},
): Promise<HostListStandIn> {
  const hosts = new LaggingHostList(options.hosts ?? [], options.lagMs ?? 0);
  const server = await startHttpServer(options, [
    {
      method: 'GET',
      path: '/hosts',
      handle: e => {
        if (hosts.isDown) sendJson(e.response, 503, {});
        else sendJson(e.response, 200, {hosts: hosts.listVisible()});
      },
    },
    {
      method: 'PUT',
      path: '/admin/hosts',
      handle: async e => {
        const body = await readJson<{hosts: readonly HostRecord[]}>(e.request);
        hosts.set(body.hosts);
        sendJson(e.response, 200, {});
      },
    },
    {
      method: 'POST',
      path: '/admin/faults',
      handle: async e => {
        hosts.setFaults(await readJson<Partial<HostListFaults>>(e.request));
        sendJson(e.response, 200, {});
      },
    },
  ]);
  return {
    ...server,
    setHosts: list => hosts.set(list),
    setFaults: faults => hosts.setFaults(faults),
  };
}
