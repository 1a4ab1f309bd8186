import {ConnectionPool, probeConnection} from '@anvilrudder/clients';
import type {Random, ServerReach, ServerTable} from '@anvilrudder/core';
import type {Logger, MetricRegistry} from '@anvilrudder/observability';
import type {HostRegistry} from './host_registry.js';

/** Dependencies of {@link HostRelay}. */
export interface HostRelayOptions {
  readonly hosts: HostRegistry;
  readonly failureDomain: string;
  readonly servers: ServerTable;
  readonly reach: ServerReach;
  readonly logger: Logger;
  readonly metrics: MetricRegistry;
  readonly random: Random;
}

const MAX_CONNECTIONS_PER_HOST = 256;
/** Hosts are near; a longer connect means that the link is cut. */
const CONNECT_TIMEOUT_MS = 250;
const PROBE_TIMEOUT_MS = 300;
/** Time for which a host that could not be reached is left out. */
const LEFT_OUT_MS = 2000;

/**
 * Connections to the other hosts, which relay requests for services that this
 * host does not reach, and probes of the servers of those services.
 */
export class HostRelay {
  private readonly pools = new Map<string, ConnectionPool>();
  private readonly leftOutUntilMs = new Map<string, number>();

  private constructor(private readonly options: HostRelayOptions) {}

  /**
   * @example
   * ```ts
   * const relay = HostRelay.create(options);
   * const address = relay.chooseHost(new Set());
   * ```
   */
  static create(options: HostRelayOptions): HostRelay {
    return new HostRelay(options);
  }

  /**
   * Chooses a host at random, in another failure domain if there is one.
   *
   * @returns its address; undefined if no host is left.
   */
  chooseHost(excluded: ReadonlySet<string>): string | undefined {
    const {hosts, failureDomain, random} = this.options;
    const nowMs = performance.now();
    const usable = hosts.entries.filter(
      ({address}) =>
        !excluded.has(address) &&
        nowMs >= (this.leftOutUntilMs.get(address) ?? -Infinity),
    );
    const elsewhere = usable.filter(
      entry => entry.failureDomain !== failureDomain,
    );
    const preferred = elsewhere.length > 0 ? elsewhere : usable;
    return preferred[Math.floor(random() * preferred.length)]?.address;
  }

  /** Returns the connections to a host. */
  getPool(address: string): ConnectionPool {
    const known = this.pools.get(address);
    if (known !== undefined) return known;
    const pool = ConnectionPool.create({
      address,
      maxConnections: MAX_CONNECTIONS_PER_HOST,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      onConnect: () => this.options.metrics.count('host_connections_total'),
    });
    this.pools.set(address, pool);
    return pool;
  }

  /** Leaves out a host for a while that could not be reached. */
  leaveOut(address: string): void {
    this.leftOutUntilMs.set(address, performance.now() + LEFT_OUT_MS);
  }

  /** True if requests from an IP address are those of another host. */
  isHost(ip: string | undefined): boolean {
    const {addresses} = this.options.hosts;
    return addresses.some(address => address.split(':')[0] === ip);
  }

  /** Records that no connection to a server could be made. */
  recordUnreached(service: string, serverId: string): void {
    const {reach, logger, metrics} = this.options;
    const serverCount = this.countServers(service);
    const wasCutOff = reach.isCutOff(service, serverCount);
    reach.recordUnreached(service, serverId);
    if (wasCutOff || !reach.isCutOff(service, serverCount)) return;
    metrics.count('services_cut_off_total');
    logger.warn('service_cut_off', {service});
  }

  /** Records that a server has answered or taken a connection. */
  recordReached(service: string): void {
    const {reach, servers, logger} = this.options;
    if (!reach.recordReached(service, this.countServers(service))) return;
    servers.endEjections(service);
    logger.info('service_reached', {service});
  }

  /** Tries whether servers of the services that are cut off are back. */
  tick(): void {
    const {reach} = this.options;
    const countServers = (service: string) => this.countServers(service);
    for (const service of reach.takeDueProbes(countServers, performance.now()))
      void this.probe(service);
  }

  closeAll(): void {
    for (const pool of this.pools.values()) pool.close();
    this.pools.clear();
  }

  /** Number of servers of a service that are not leaving. */
  countServers(service: string): number {
    return this.listStaying(service).length;
  }

  private async probe(service: string): Promise<void> {
    const staying = this.listStaying(service);
    const index = Math.floor(this.options.random() * staying.length);
    const address = staying[index]?.server.address;
    if (address === undefined) return;
    const isReached = await probeConnection(address, PROBE_TIMEOUT_MS);
    if (isReached) this.recordReached(service);
  }

  private listStaying(service: string) {
    const records = this.options.servers.list(service);
    return records.filter(({availability}) => !availability.isLeaving);
  }
}
