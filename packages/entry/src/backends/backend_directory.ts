import type {ModelVersion} from '@anvilrudder/core';

/** One backend server of the host list. */
export interface ListedHost {
  readonly host: string;
  readonly role: string;
  /** `ip:port`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly state: 'live' | 'leaving';
}

/** The last load report of a model engine. */
export interface EngineLoad {
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  readonly loaded: readonly ModelVersion[];
  readonly isDraining: boolean;
  /** Age of the report when it was read. */
  readonly reportAgeMs: number;
}

/** What this entry knows of one backend server. */
export interface BackendView {
  readonly host: ListedHost;
  readonly load: EngineLoad | undefined;
  /** Requests that this entry has open there. */
  readonly inFlight: number;
  readonly isLeaving: boolean;
}

interface BackendState {
  host: ListedHost;
  load: EngineLoad | undefined;
  inFlight: number;
  saidLeaving: boolean;
}

/**
 * The backend servers known to this entry: the host list, their load
 * reports, and this entry's own count of open requests.
 *
 * @example
 * ```ts
 * const directory = BackendDirectory.create();
 * directory.replaceHosts(await hostList.read());
 * directory.listRole('booking');
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

  /** Calls back after each refresh, until the returned function is called. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Tells the listeners that a refresh is over. */
  notifyChange(): void {
    for (const listener of this.listeners) listener();
  }

  /** Takes a new host list; open requests at removed hosts go on. */
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

  /** `ip:port` of a backend server; undefined when it is not listed. */
  findAddress(hostName: string): string | undefined {
    return this.states.get(hostName)?.host.address;
  }

  /** Servers that said themselves that they are leaving. */
  listDrainingServers(): readonly string[] {
    return [...this.states.values()]
      .filter(state => state.saidLeaving)
      .map(state => state.host.host);
  }

  /** The entries that the host list names, with their peer addresses. */
  listEntries(): readonly ListedHost[] {
    return this.entries;
  }

  /** Takes a load report; a server that says it drains is leaving. */
  recordLoad(hostName: string, load: EngineLoad): void {
    const state = this.states.get(hostName);
    if (state === undefined) return;
    state.load = load;
    state.saidLeaving = load.isDraining;
  }

  /** Notes the server's own refusal because it drains. */
  recordDraining(hostName: string): void {
    const state = this.states.get(hostName);
    if (state !== undefined) state.saidLeaving = true;
  }

  /** Counts an open request; call the returned function when it ends. */
  openRequest(hostName: string): () => void {
    const state = this.states.get(hostName);
    if (state === undefined) return () => undefined;
    state.inFlight += 1;
    let isOpen = true;
    return () => {
      if (isOpen) state.inFlight -= 1;
      isOpen = false;
    };
  }

  /** Servers of a role that take new work. */
  listRole(role: string): readonly BackendView[] {
    return this.listAll().filter(
      view => view.host.role === role && !view.isLeaving,
    );
  }

  /** All servers, leaving ones too. */
  listAll(): readonly BackendView[] {
    return [...this.states.values()].map(toView);
  }
}

function createState(host: ListedHost): BackendState {
  return {host, load: undefined, inFlight: 0, saidLeaving: false};
}

function toView(state: BackendState): BackendView {
  return {
    host: state.host,
    load: state.load,
    inFlight: state.inFlight,
    isLeaving: state.saidLeaving || state.host.state === 'leaving',
  };
}
