import {
  clamp,
  computeLimitShare,
  type RegisteredServer,
  type ServerLimit,
  type ServerTable,
} from '@anvilrudder/core';
import type {Logger, MetricRegistry} from '@anvilrudder/observability';
import type {LimitNotice} from '../../ports.js';
import type {LimitAnnouncement} from './limit_announcement.js';
import type {AnnouncementReach} from '../hosts/announcement_reach.js';

/** Dependencies of {@link ServerLimits}. */
export interface ServerLimitsOptions {
  readonly servers: ServerTable;
  /** Address of this host, by which the others know it. */
  readonly address: string;
  readonly listOtherAddresses: () => readonly string[];
  readonly logger: Logger;
  readonly metrics: MetricRegistry;
  readonly random: () => number;
  /** Sends an announcement to the other hosts. */
  readonly announce: (
    announcement: LimitAnnouncement,
    reach: AnnouncementReach,
  ) => void;
}

/** A server that has named a limit, or has recently ceased to. */
interface LimitedServer {
  readonly server: RegisteredServer;
  /** Undefined once the server names none. */
  requestsPerS: number | undefined;
  /** Last response of this host that named a limit, by its arrival. */
  namedMs: number;
  nextAnnouncementMs: number;
  /** Announcements of the end that are still to be made. */
  endAnnouncementCount: number;
}

type NoticeHandler<K extends LimitNotice['kind']> = (
  server: RegisteredServer,
  notice: Extract<LimitNotice, {kind: K}>,
  sentMs: number,
) => void;

/** Limits beyond this range, in requests a second, are read as its ends. */
const LIMIT_RANGE_PER_S = {min: 0.05, max: 1e6} as const;
/** Time between two announcements of a limit that does not change. */
const REPEAT_MS = 2000;
/** Announcements of the end of a limit, as messages may be lost. */
const END_ANNOUNCEMENT_COUNT = 3;
/**
 * A limit that no host has heard for this time, up to twice as long, no longer
 * holds; the hosts try the server again at different times.
 */
const EXPIRY_MS = 30_000;

/**
 * Keeps the limits that servers name for the requests of all hosts together. The
 * hosts tell each other of them, and each computes its share by itself.
 */
export class ServerLimits {
  private readonly limited = new Map<string, LimitedServer>();
  /** Host list of the current shares; the registry replaces it on a change. */
  private sharingAddresses: readonly string[] = [];
  private readonly handlers: {
    readonly [K in LimitNotice['kind']]: NoticeHandler<K>;
  } = {
    none: (server, _notice, sentMs) => this.receiveEnd(server, sentMs),
    limit: (server, {requestsPerS}) => this.receiveLimit(server, requestsPerS),
    unreadable: (server, {text}) => this.logUnreadable(server, text),
  };

  private constructor(private readonly options: ServerLimitsOptions) {
    options.metrics.registerGauge('limited_servers', () => this.countLimited());
  }

  /**
   * @example
   * ```ts
   * const limits = ServerLimits.create(options);
   * limits.recordResponse(server, {kind: 'limit', requestsPerS: 2}, sentMs);
   * ```
   */
  static create(options: ServerLimitsOptions): ServerLimits {
    return new ServerLimits(options);
  }

  /**
   * Records what a response says about the limit of its server.
   *
   * @param sentMs time at which its request was sent.
   */
  recordResponse(
    server: RegisteredServer,
    notice: LimitNotice,
    sentMs: number,
  ): void {
    const handle = this.handlers[notice.kind] as NoticeHandler<
      LimitNotice['kind']
    >;
    handle(server, notice, sentMs);
  }

  /** Takes over what another host tells about the limit of a server. */
  receive({serverId, startedAtMs, requestsPerS}: LimitAnnouncement): void {
    const server = this.options.servers.find(serverId)?.server;
    if (server === undefined || server.startedAtMs !== startedAtMs) return;
    const nowMs = performance.now();
    const known = this.limited.get(serverId);
    if (requestsPerS === undefined) {
      if (known !== undefined) this.end(known);
      return;
    }
    const entry = this.put(server, requestsPerS, nowMs);
    // The sender has told the others.
    entry.nextAnnouncementMs = nowMs + REPEAT_MS;
  }

  /** Follows changes of the host list and repeats the end of limits. */
  tick(): void {
    const nowMs = performance.now();
    const addresses = this.options.listOtherAddresses();
    const areSharesOld = addresses !== this.sharingAddresses;
    this.sharingAddresses = addresses;
    for (const [id, entry] of this.limited) {
      const record = this.options.servers.find(id);
      if (
        record === undefined ||
        record.server.startedAtMs !== entry.server.startedAtMs
      ) {
        this.limited.delete(id);
      } else if (entry.requestsPerS === undefined) {
        this.repeatEnd(id, entry, nowMs);
      } else if (hasExpired(record.availability.limit, nowMs)) {
        this.end(entry);
      } else if (areSharesOld) {
        this.updateShare(entry, record.availability.limit);
      }
    }
  }

  private receiveLimit(server: RegisteredServer, requestsPerS: number): void {
    const nowMs = performance.now();
    const before = this.limited.get(server.id);
    const {min, max} = LIMIT_RANGE_PER_S;
    const readLimit = clamp(requestsPerS, min, max);
    const isNews = before?.requestsPerS !== readLimit;
    const entry = this.put(server, readLimit, nowMs);
    entry.namedMs = nowMs;
    if (!isNews && nowMs < entry.nextAnnouncementMs) return;
    entry.nextAnnouncementMs = nowMs + REPEAT_MS;
    this.announce(entry, isNews ? 'allHosts' : 'someHosts');
  }

  // A response to an earlier request may be overtaken by one that names a limit.
  private receiveEnd(server: RegisteredServer, sentMs: number): void {
    const entry = this.limited.get(server.id);
    if (entry?.requestsPerS === undefined || sentMs < entry.namedMs) return;
    this.end(entry);
    entry.endAnnouncementCount = END_ANNOUNCEMENT_COUNT;
    this.repeatEnd(server.id, entry, performance.now());
  }

  private put(
    server: RegisteredServer,
    requestsPerS: number,
    nowMs: number,
  ): LimitedServer {
    const known = this.limited.get(server.id);
    const entry =
      known?.server.startedAtMs === server.startedAtMs && known !== undefined
        ? known
        : createEntry(server);
    this.limited.set(server.id, entry);
    const isChanged = entry.requestsPerS !== requestsPerS;
    entry.requestsPerS = requestsPerS;
    entry.endAnnouncementCount = 0;
    const limit = this.options.servers.find(server.id)?.availability.limit;
    const sharePerS =
      isChanged || limit === undefined
        ? this.computeShare(entry, requestsPerS)
        : limit.sharePerS;
    const expiresMs = nowMs + EXPIRY_MS * (1 + this.options.random());
    this.options.servers.setLimit(server, {
      requestsPerS,
      sharePerS,
      nextDueMs: limit?.nextDueMs ?? nowMs,
      expiresMs,
    });
    if (isChanged) {
      this.options.logger.info('server_limited', {
        server: server.id,
        limitPerS: requestsPerS,
        sharePerS,
      });
    }
    return entry;
  }

  private end(entry: LimitedServer): void {
    const {server} = entry;
    if (entry.requestsPerS !== undefined)
      this.options.logger.info('server_unlimited', {server: server.id});
    entry.requestsPerS = undefined;
    this.options.servers.setLimit(server, undefined);
  }

  private repeatEnd(id: string, entry: LimitedServer, nowMs: number): void {
    if (entry.endAnnouncementCount === 0) {
      this.limited.delete(id);
      return;
    }
    if (nowMs < entry.nextAnnouncementMs && !this.isFirstEnd(entry)) return;
    entry.endAnnouncementCount -= 1;
    entry.nextAnnouncementMs = nowMs + REPEAT_MS;
    this.announce(entry, 'allHosts');
  }

  private isFirstEnd({endAnnouncementCount}: LimitedServer): boolean {
    return endAnnouncementCount === END_ANNOUNCEMENT_COUNT;
  }

  private updateShare(
    entry: LimitedServer,
    limit: ServerLimit | undefined,
  ): void {
    if (limit === undefined) return;
    const sharePerS = this.computeShare(entry, limit.requestsPerS);
    if (sharePerS !== limit.sharePerS)
      this.options.servers.setLimit(entry.server, {...limit, sharePerS});
  }

  private computeShare({server}: LimitedServer, requestsPerS: number): number {
    return computeLimitShare({
      serverId: server.id,
      requestsPerS,
      address: this.options.address,
      otherAddresses: this.options.listOtherAddresses(),
    });
  }

  private announce(
    {server, requestsPerS}: LimitedServer,
    reach: AnnouncementReach,
  ): void {
    const {id, startedAtMs} = server;
    this.options.announce({serverId: id, startedAtMs, requestsPerS}, reach);
  }

  private logUnreadable(server: RegisteredServer, text: string): void {
    this.options.metrics.count('unreadable_limits_total');
    this.options.logger.info('limit_unreadable', {server: server.id, text});
  }

  private countLimited(): number {
    const entries = [...this.limited.values()];
    return entries.filter(entry => entry.requestsPerS !== undefined).length;
  }
}

function hasExpired(limit: ServerLimit | undefined, nowMs: number): boolean {
  return limit === undefined || nowMs >= limit.expiresMs;
}

function createEntry(server: RegisteredServer): LimitedServer {
  return {
    server,
    requestsPerS: undefined,
    namedMs: -Infinity,
    nextAnnouncementMs: -Infinity,
    endAnnouncementCount: 0,
  };
}
