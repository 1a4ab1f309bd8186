import type {ModelVersion} from '@anvilrudder/core';

/** One host of the host list: a backend server or an entry. */
export interface ListedHost {
  readonly host: string;
  readonly role: string;
  /** `ip:port`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly state: 'live' | 'leaving';
}

/** The latest load report of a model engine. */
export interface EngineLoad {
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  readonly loaded: readonly ModelVersion[];
  readonly isDraining: boolean;
  /** Age of the report, in milliseconds, when this entry received it. */
  readonly reportAgeMs: number;
}

/** The state of one backend server as this entry knows it. */
export interface BackendView {
  readonly host: ListedHost;
  readonly load: EngineLoad | undefined;
  /** Number of requests that this entry has in progress at the server. */
  readonly inFlight: number;
  readonly isLeaving: boolean;
}

interface BackendState {
  host: ListedHost;
  load: EngineLoad | undefined;
  inFlight: number;
  /** True when the server itself last said that it is draining. */
  reportsDraining: boolean;
}

/**
 * Holds what this entry knows about the backend servers: the host list, their
 * load reports and the number of requests that this entry has in progress at
 * each of them.
 *
 * @example
 * ```ts
 * const directory = BackendDirectory.create();
 * directory.replaceHosts(await hostList.read());
 * directory.listAvailable('booking');
 * ```
 */
export class BackendDirectory {
  private readonly states = new Map<string, BackendState>();
  private entries: readonly ListedHost[] = [];
  private readonly listeners = new Set<() => void>();

  private constructor() {}

  static create(): BackendDirectory {
    return new BackendDirectory();
  }

  /** Calls `listener` after each refresh; the returned function removes it. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Calls the listeners; to be called at the end of a refresh. */
  notifyChange(): void {
    for (const listener of this.listeners) listener();
  }

  /**
   * Replaces the host list. Requests in progress at removed hosts are not
   * interrupted.
   */
  replaceHosts(hosts: readonly ListedHost[]): void {
    const listed = new Set<string>();
    this.entries = hosts.filter(host => host.role === 'entry');
    for (const host of hosts) {
      if (host.role === 'entry') continue;
      listed.add(host.host);
      const state = this.states.get(host.host);
      if (state === undefined || state.host.address !== host.address) {
        this.states.set(host.host, createState(host));
      } else {
        state.host = host;
      }
    }
    for (const name of this.states.keys()) {
      if (!listed.has(name)) this.states.delete(name);
    }
  }

  /**
   * Returns the `ip:port` of a backend server, or undefined when the host list
   * does not contain it.
   */
  findAddress(hostName: string): string | undefined {
    return this.states.get(hostName)?.host.address;
  }

  /** Lists the names of the servers that report themselves as draining. */
  listDrainingServers(): readonly string[] {
    return [...this.states.values()]
      .filter(state => state.reportsDraining)
      .map(state => state.host.host);
  }

  /** Lists the entries in the host list, with their peer addresses. */
  listEntries(): readonly ListedHost[] {
    return this.entries;
  }

  /** Stores a load report; a server that reports draining counts as leaving. */
  recordLoad(hostName: string, load: EngineLoad): void {
    const state = this.states.get(hostName);
    if (state === undefined) return;
    state.load = load;
    state.reportsDraining = load.isDraining;
  }

  /** Records that a server refused a request because it is draining. */
  recordDraining(hostName: string): void {
    const state = this.states.get(hostName);
    if (state !== undefined) state.reportsDraining = true;
  }

  /**
   * Counts a request in progress at a server. The returned function must be
   * called when the request ends; further calls of it have no effect.
   */
  trackRequest(hostName: string): () => void {
    const state = this.states.get(hostName);
    if (state === undefined) return () => undefined;
    state.inFlight += 1;
    let isOpen = true;
    return () => {
      if (isOpen) state.inFlight -= 1;
      isOpen = false;
    };
  }

  /** Lists the servers of a role that are not leaving. */
  listAvailable(role: string): readonly BackendView[] {
    return this.listAll().filter(
      view => view.host.role === role && !view.isLeaving,
    );
  }

  /** Lists all servers, including those that are leaving. */
  listAll(): readonly BackendView[] {
    return [...this.states.values()].map(toView);
  }
}

function createState(host: ListedHost): BackendState {
  return {host, load: undefined, inFlight: 0, reportsDraining: false};
}

function toView(state: BackendState): BackendView {
  return {
    host: state.host,
    load: state.load,
    inFlight: state.inFlight,
    isLeaving: state.reportsDraining || state.host.state === 'leaving',
  };
}
