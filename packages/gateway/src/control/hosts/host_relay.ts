import {ConnectionPool, probeConnection} from '@anvilrudder/clients';
import {
  computeNoticeValidityMs,
  ReachNotices,
  RelayHosts,
  type Random,
  type ReachNotice,
  type RelayChoice,
  type ServerReach,
  type ServerTable,
} from '@anvilrudder/core';
import type {Logger, MetricRegistry} from '@anvilrudder/observability';
import type {RegionCheck} from '../servers/home_regions.js';
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
  /** Tells all other hosts of a service that this one does not reach, or does. */
  readonly announce: (notice: ReachNotice) => void;
}

const MAX_CONNECTIONS_PER_HOST = 256;
/** Hosts are near; a longer connect means that the link is cut. */
const CONNECT_TIMEOUT_MS = 250;
const PROBE_TIMEOUT_MS = 300;

/**
 * Connections to the other hosts, which relay requests for services that this
 * host does not reach, and probes of the servers of those services.
 */
export class HostRelay {
  private readonly pools = new Map<string, ConnectionPool>();
  private readonly relays: RelayHosts;
  private readonly notices = ReachNotices.create();

  private constructor(private readonly options: HostRelayOptions) {
    this.relays = RelayHosts.create(options.random);
  }

  /**
   * @example
   * ```ts
   * const relay = HostRelay.create(options);
   * const choice = relay.chooseHost('app', new Set());
   * ```
   */
  static create(options: HostRelayOptions): HostRelay {
    return new HostRelay(options);
  }

  /**
   * Chooses the host to ask next for a request.
   *
   * @param asked addresses of the hosts that have been asked for it.
   * @param isEligible false for the failure domains of hosts that must not get
   *     it. Default: all may.
   */
  chooseHost(
    service: string,
    asked: ReadonlySet<string>,
    isEligible: RegionCheck = () => true,
  ): RelayChoice {
    const {hosts, failureDomain} = this.options;
    const nowMs = performance.now();
    const eligible = hosts.entries.filter(host =>
      isEligible(host.failureDomain),
    );
    return this.relays.choose(eligible, {
      service,
      failureDomain,
      asked,
      nowMs,
    });
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

  /** Leaves out a host for a while that could not be reached, or is stopping. */
  leaveOut(address: string): void {
    this.relays.leaveOut(address, performance.now());
  }

  /** Records what another host says of its links to a service. */
  receiveNotice({service, isReached}: ReachNotice, address: string): void {
    if (isReached) this.relays.recordReached(service, address);
    else this.recordHostUnreached(service, address);
  }

  /** Records that another host does not reach a service. */
  recordHostUnreached(service: string, address: string): void {
    const validityMs = computeNoticeValidityMs(this.options.hosts.count);
    const untilMs = performance.now() + validityMs;
    this.relays.recordUnreached(service, address, untilMs);
  }

  /** Records that another host has sent a request for a service. */
  recordHostSent(service: string, address: string): void {
    const validityMs = computeNoticeValidityMs(this.options.hosts.count);
    const untilMs = performance.now() + validityMs;
    this.relays.recordSent(service, address, untilMs);
  }

  /** True if this host has lost its links to the servers of a service. */
  isCutOff(service: string): boolean {
    return this.options.reach.isCutOff(service, this.countServers(service));
  }

  /** True if requests from an IP address are those of another host. */
  isHost(ip: string | undefined): boolean {
    const {addresses} = this.options.hosts;
    return addresses.some(address => address.split(':')[0] === ip);
  }

  /** Records that no connection to a server could be made. */
  recordUnreached(service: string, serverId: string): void {
    const {reach, logger, metrics} = this.options;
    const wasCutOff = this.isCutOff(service);
    reach.recordUnreached(service, serverId);
    if (wasCutOff || !this.isCutOff(service)) return;
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

  /**
   * Forgets which servers of a service could not be connected to, as they may
   * have been those of a failure domain that no longer counts.
   */
  forgetUnreached(service: string): void {
    this.options.reach.recordReached(service, 0);
  }

  /**
   * Tries whether servers of the services that are cut off are back, and tells
   * the other hosts of these services.
   */
  tick(): void {
    const {reach, hosts, announce} = this.options;
    const nowMs = performance.now();
    const countServers = (service: string) => this.countServers(service);
    for (const service of reach.takeDueProbes(countServers, nowMs))
      void this.probe(service);
    const cutOff = reach.listCutOff(countServers);
    for (const notice of this.notices.takeDue(cutOff, hosts.count, nowMs))
      announce(notice);
    this.relays.forgetExpired(nowMs);
  }

  closeAll(): void {
    for (const pool of this.pools.values()) pool.close();
    this.pools.clear();
  }

  /** Number of servers of a service that may receive requests. */
  private countServers(service: string): number {
    return this.listStaying(service).length;
  }

  private async probe(service: string): Promise<void> {
    const staying = this.listStaying(service);
    const index = Math.floor(this.options.random() * staying.length);
    const address = staying[index]?.server.address;
    if (address === undefined) return;
    const result = await probeConnection(address, {
      timeoutMs: PROBE_TIMEOUT_MS,
    });
    if (result === 'kept') this.recordReached(service);
  }

  private listStaying(service: string) {
    const records = this.options.servers.list(service);
    return records.filter(
      ({server, availability}) =>
        !availability.isLeaving && !this.options.servers.isEvacuated(server),
    );
  }
}
