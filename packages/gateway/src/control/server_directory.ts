import type {RegisteredServer, ServerTable} from '@anvilrudder/core';
import type {Logger} from '@anvilrudder/observability';
import type {ServerPools} from './server_pools.js';

/** How an outage of the registry delays the removal of servers. */
export interface DirectoryOptions {
  /** Shortest outage after which registrations may have expired. */
  readonly minOutageMs: number;
  /** Time within which live servers register again after such an outage. */
  readonly reregistrationMs: number;
}

/**
 * Applies changes of the registry to the server table. A server that is leaving
 * gets no new requests from then on. A server whose registration disappeared
 * during an outage of the registry has some time to register again.
 */
export class ServerDirectory {
  private readonly pendingRemovals = new Map<string, NodeJS.Timeout>();
  private unavailableSinceMs: number | undefined;
  private removalsDelayedUntilMs = -Infinity;

  private constructor(
    private readonly table: ServerTable,
    private readonly pools: ServerPools,
    private readonly logger: Logger,
    private readonly options: DirectoryOptions,
  ) {}

  /**
   * @example
   * ```ts
   * const directory = ServerDirectory.create(table, pools, logger, options);
   * directory.put(server);
   * ```
   */
  static create(
    table: ServerTable,
    pools: ServerPools,
    logger: Logger,
    options: DirectoryOptions,
  ): ServerDirectory {
    return new ServerDirectory(table, pools, logger, options);
  }

  /** Replaces all servers by those that are currently registered. */
  replaceAll(servers: readonly RegisteredServer[]): void {
    const ids = new Set(servers.map(({id}) => id));
    for (const server of servers) this.put(server);
    for (const id of this.table.listIds()) {
      if (!ids.has(id)) this.remove(id);
    }
  }

  /** Adds or changes a server. */
  put(server: RegisteredServer): void {
    clearTimeout(this.pendingRemovals.get(server.id));
    this.pendingRemovals.delete(server.id);
    const before = this.table.find(server.id)?.server;
    this.table.put(server);
    const isChanged =
      before === undefined ||
      before.isLeaving !== server.isLeaving ||
      before.address !== server.address;
    if (!isChanged) return;
    this.logger.info('server_registered', {
      server: server.id,
      service: server.service,
      address: server.address,
      version: server.softwareVersion,
      leaving: server.isLeaving,
    });
  }

  /** Removes a server that is no longer registered; delayed after an outage. */
  remove(id: string): void {
    if (this.table.find(id) === undefined || this.pendingRemovals.has(id))
      return;
    const waitMs = this.removalsDelayedUntilMs - performance.now();
    if (waitMs <= 0) {
      this.removeNow(id);
      return;
    }
    this.logger.info('server_doubtful', {
      server: id,
      waitMs: Math.round(waitMs),
    });
    const timer = setTimeout(() => {
      this.pendingRemovals.delete(id);
      this.removeNow(id);
    }, waitMs);
    this.pendingRemovals.set(id, timer);
  }

  /** Records that the registry does not respond. */
  markUnavailable(): void {
    this.unavailableSinceMs ??= performance.now();
  }

  /** Records that the registry responds again; may delay removals. */
  markRecovered(): void {
    if (this.unavailableSinceMs === undefined) return;
    const nowMs = performance.now();
    const outageMs = nowMs - this.unavailableSinceMs;
    this.unavailableSinceMs = undefined;
    if (outageMs < this.options.minOutageMs) return;
    this.removalsDelayedUntilMs = nowMs + this.options.reregistrationMs;
  }

  private removeNow(id: string): void {
    this.table.remove(id);
    this.pools.retire(id);
    this.logger.info('server_gone', {server: id});
  }
}
