import {
  computeBrittleShare,
  rankHost,
  reduceCapacity,
  type BrittleCapacity,
  type RegisteredServer,
  type ServerRecord,
  type ServerTable,
} from '@anvilrudder/core';
import type {Logger, MetricRegistry} from '@anvilrudder/observability';
import type {BrittleAnnouncement} from './brittle_announcement.js';
import type {AnnouncementReach} from '../hosts/announcement_reach.js';

/** Dependencies of {@link BrittleServers}. */
export interface BrittleServersOptions {
  readonly servers: ServerTable;
  /** Address of this host, by which the others know it. */
  readonly address: string;
  readonly listOtherAddresses: () => readonly string[];
  readonly logger: Logger;
  readonly metrics: MetricRegistry;
  /** Sends an announcement to the other hosts. */
  readonly announce: (
    announcement: BrittleAnnouncement,
    reach: AnnouncementReach,
  ) => void;
}

/** What the servers of a service have said and done. */
interface BrittleService {
  /** Last response of this host that said so, by its arrival. */
  namedMs: number;
  expiresMs: number;
  nextAnnouncementMs: number;
  readonly capacityByServer: Map<string, BrittleCapacity>;
}

/** Time between two announcements that a service is still brittle. */
const REPEAT_MS = 2000;
/** A service is no longer brittle if no host has heard it for this time. */
const EXPIRY_MS = 15_000;
/** Time for which no host sends to a brittle server that has rejected one. */
const PAUSE_MS = 500;

/**
 * Keeps the requests at brittle servers, which end if they must reject several,
 * to what their capacity allows. The hosts tell each other of brittle
 * services and of each rejection.
 */
export class BrittleServers {
  private readonly services = new Map<string, BrittleService>();
  /** Ranks among `rankedAddresses`, which the registry replaces on a change. */
  private readonly rankByServer = new Map<string, number>();
  private rankedAddresses: readonly string[] = [];

  private constructor(private readonly options: BrittleServersOptions) {}

  /**
   * @example
   * ```ts
   * const brittle = BrittleServers.create(options);
   * brittle.recordResponse(server, true, sentMs);
   * brittle.hasCapacity(record); // false once this host has its share there
   * ```
   */
  static create(options: BrittleServersOptions): BrittleServers {
    return new BrittleServers(options);
  }

  /** True if this host may send one more request to a server. */
  hasCapacity({server, inFlight}: ServerRecord): boolean {
    const entry = this.find(server.service);
    if (entry === undefined) return true;
    const share = computeBrittleShare(
      {
        slots: server.slots,
        capacity: entry.capacityByServer.get(server.id),
        rank: this.getRank(server.id),
        hostCount: this.options.listOtherAddresses().length + 1,
      },
      performance.now(),
    );
    return inFlight < share;
  }

  /** True while the servers of a service say that they are brittle. */
  isBrittle(service: string): boolean {
    return this.find(service) !== undefined;
  }

  /**
   * Records whether a response says that its server is brittle.
   *
   * @param sentMs time at which its request was sent.
   */
  recordResponse(
    {service}: RegisteredServer,
    isBrittle: boolean,
    sentMs: number,
  ): void {
    const nowMs = performance.now();
    const known = this.find(service);
    if (!isBrittle) {
      if (known === undefined || sentMs < known.namedMs) return;
      this.end(service);
      this.options.announce({kind: 'ended', service}, 'allHosts');
      return;
    }
    const entry = this.put(service);
    entry.namedMs = nowMs;
    if (nowMs < entry.nextAnnouncementMs) return;
    entry.nextAnnouncementMs = nowMs + REPEAT_MS;
    const reach = known === undefined ? 'allHosts' : 'fewHosts';
    this.options.announce({kind: 'brittle', service}, reach);
  }

  /** Records that a server was full and has rejected a request. */
  recordRejection({id, service, slots}: RegisteredServer): void {
    const entry = this.find(service);
    if (entry === undefined) return;
    const hostCount = this.options.listOtherAddresses().length + 1;
    const capacity = reduceCapacity(
      entry.capacityByServer.get(id),
      Math.max(slots, hostCount),
      performance.now(),
    );
    this.options.metrics.count('brittle_rejections_total');
    this.reduce(service, id, capacity.reducedTo);
    this.options.announce(
      {kind: 'rejected', service, serverId: id, reducedTo: capacity.reducedTo},
      'allHosts',
    );
  }

  /** Takes over what another host has announced. */
  receive(announcement: BrittleAnnouncement): void {
    const {kind, service} = announcement;
    if (kind === 'ended') {
      this.end(service);
      return;
    }
    this.put(service);
    if (kind === 'rejected')
      this.reduce(service, announcement.serverId, announcement.reducedTo);
  }

  /** Returns the rank of this host for a server among the known hosts. */
  private getRank(serverId: string): number {
    const {address, listOtherAddresses} = this.options;
    const otherAddresses = listOtherAddresses();
    if (otherAddresses !== this.rankedAddresses) this.rankByServer.clear();
    this.rankedAddresses = otherAddresses;
    const known = this.rankByServer.get(serverId);
    if (known !== undefined) return known;
    const rank = rankHost(serverId, address, otherAddresses);
    this.rankByServer.set(serverId, rank);
    return rank;
  }

  private reduce(service: string, serverId: string, reducedTo: number): void {
    const nowMs = performance.now();
    const {capacityByServer} = this.put(service);
    capacityByServer.set(serverId, {reducedTo, reducedMs: nowMs});
    const server = this.options.servers.find(serverId)?.server;
    if (server !== undefined)
      this.options.servers.pause(server, PAUSE_MS, nowMs);
  }

  private put(service: string): BrittleService {
    const known = this.find(service);
    const entry = known ?? {
      namedMs: -Infinity,
      expiresMs: 0,
      nextAnnouncementMs: -Infinity,
      capacityByServer: new Map(),
    };
    entry.expiresMs = performance.now() + EXPIRY_MS;
    if (known === undefined) {
      this.services.set(service, entry);
      this.options.logger.info('service_brittle', {service});
    }
    return entry;
  }

  private end(service: string): void {
    if (!this.services.delete(service)) return;
    if (this.services.size === 0) this.rankByServer.clear();
    this.options.logger.info('service_brittle_ended', {service});
  }

  private find(service: string): BrittleService | undefined {
    const entry = this.services.get(service);
    if (entry === undefined || performance.now() < entry.expiresMs)
      return entry;
    this.end(service);
    return undefined;
  }
}
