import {
  isSameRun,
  type RegisteredServer,
  type ServerTable,
} from '@anvilrudder/core';
import type {Logger} from '@anvilrudder/observability';
import type {ServerPools} from './server_pools.js';
import type {SlowStarts} from './slow_starts.js';

/** How an outage of the registry delays the removal of servers. */
export interface DirectoryOptions {
  /** Shortest outage after which registrations may have expired. */
  readonly minOutageMs: number;
  /** Time within which live servers register again after such an outage. */
  readonly reregistrationMs: number;
  /** Time after which the registration of a silent server expires. */
  readonly expiryMs: number;
  /** Told of each registration; undefined if no server is ever cold. */
  readonly slowStarts?: SlowStarts;
}

interface RemovedServer {
  readonly server: RegisteredServer;
  readonly removedMs: number;
}

/** Time for which a removed server is remembered. */
const REMOVED_MEMORY_MS = 60_000;

/**
 * Applies changes of the registry to the server table. A server that is leaving
 * gets no new requests from then on. A server whose registration disappeared
 * during an outage of the registry has some time to register again. When the
 * registry returns from an older copy, a server that was removed before is added
 * again only if its registration outlasts the expiry.
 */
export class ServerDirectory {
  private readonly pendingRemovals = new Map<string, NodeJS.Timeout>();
  private readonly pendingReturns = new Map<string, NodeJS.Timeout>();
  private readonly removed = new Map<string, RemovedServer>();
  private hasListed = false;
  private restoredMs = -Infinity;
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
    const knownIds = [...this.table.listIds(), ...this.pendingReturns.keys()];
    for (const id of knownIds) {
      if (!ids.has(id)) this.remove(id);
    }
    this.hasListed = true;
  }

  /** Adds or changes a server; delayed if an older copy may list it wrongly. */
  put(server: RegisteredServer): void {
    clearTimeout(this.pendingRemovals.get(server.id));
    this.pendingRemovals.delete(server.id);
    this.cancelReturn(server.id);
    const waitMs = this.computeReturnDelayMs(server);
    if (waitMs <= 0) {
      this.putNow(server);
      return;
    }
    this.logger.info('server_return_delayed', {
      server: server.id,
      waitMs: Math.round(waitMs),
    });
    const timer = setTimeout(() => {
      this.pendingReturns.delete(server.id);
      this.putNow(server);
    }, waitMs);
    this.pendingReturns.set(server.id, timer);
  }

  private putNow(server: RegisteredServer): void {
    this.removed.delete(server.id);
    const before = this.table.find(server.id)?.server;
    this.table.put(server);
    this.recordRegistration(server, before !== undefined);
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

  private recordRegistration(
    server: RegisteredServer,
    wasListed: boolean,
  ): void {
    const later = wasListed ? 'listed' : 'appeared';
    const occasion = this.hasListed ? later : 'firstList';
    this.options.slowStarts?.recordRegistration(server, occasion);
  }

  /** Removes a server that is no longer registered; delayed after an outage. */
  remove(id: string): void {
    this.cancelReturn(id);
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

  /**
   * Records that the registry has returned from an older copy: it may lack
   * servers that live, and list some that were removed.
   */
  markRestored(): void {
    this.restoredMs = performance.now();
    this.removalsDelayedUntilMs =
      this.restoredMs + this.options.reregistrationMs;
  }

  private computeReturnDelayMs(server: RegisteredServer): number {
    const removed = this.removed.get(server.id);
    if (removed === undefined || !isSameRun(removed.server, server)) return 0;
    if (removed.removedMs > this.restoredMs) return 0;
    const {reregistrationMs, expiryMs} = this.options;
    const untilMs = this.restoredMs + reregistrationMs + expiryMs;
    return untilMs - performance.now();
  }

  private cancelReturn(id: string): void {
    clearTimeout(this.pendingReturns.get(id));
    this.pendingReturns.delete(id);
  }

  private rememberRemoved(server: RegisteredServer): void {
    const nowMs = performance.now();
    for (const [id, {removedMs}] of this.removed) {
      if (nowMs - removedMs > REMOVED_MEMORY_MS) this.removed.delete(id);
    }
    this.removed.set(server.id, {server, removedMs: nowMs});
  }

  private removeNow(id: string): void {
    const record = this.table.find(id);
    if (record !== undefined) this.rememberRemoved(record.server);
    this.table.remove(id);
    this.pools.retire(id);
    this.logger.info('server_gone', {server: id});
  }
}
