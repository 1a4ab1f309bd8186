import {ConnectionPool} from '@anvilrudder/clients';
import type {RegisteredServer} from '@anvilrudder/core';
import type {MetricRegistry} from '@anvilrudder/observability';

interface OpenPool {
  readonly address: string;
  readonly pool: ConnectionPool;
}

/**
 * Servers are near, and a lost packet is sent again only after a second; a
 * connection that takes longer will hardly be made.
 */
const CONNECT_TIMEOUT_MS = 400;

/** Connection pools, one per registered server. */
export class ServerPools {
  private readonly pools = new Map<string, OpenPool>();

  private constructor(private readonly metrics: MetricRegistry) {}

  static create(metrics: MetricRegistry): ServerPools {
    return new ServerPools(metrics);
  }

  /** Returns the pool of a server; a new one if its address has changed. */
  get(server: RegisteredServer, maxConnections: number): ConnectionPool {
    const known = this.pools.get(server.id);
    if (known?.address === server.address) return known.pool;
    known?.pool.close();
    const pool = ConnectionPool.create({
      address: server.address,
      maxConnections,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      onConnect: () => this.metrics.count('backend_connections_total'),
    });
    this.pools.set(server.id, {address: server.address, pool});
    return pool;
  }

  /** Closes the idle connections to a server that is gone or leaving. */
  retire(id: string): void {
    this.pools.get(id)?.pool.close();
    this.pools.delete(id);
  }

  closeAll(): void {
    for (const {pool} of this.pools.values()) pool.close();
    this.pools.clear();
  }
}
