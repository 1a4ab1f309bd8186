import {
  computeSlowStartShare,
  listSlowStartSenders,
  type ForwardService,
  type HostKnowledge,
  type RegisteredServer,
  type ServerTable,
  type SlowStartBounds,
  type SlowStartShare,
} from '@anvilrudder/core';
import type {Logger, MetricRegistry} from '@anvilrudder/observability';

/**
 * Why a server is held to be cold. `registered`: its registration says so;
 * `started`: it has started during traffic; `unreached`: connections to it are
 * refused; `returned`: it responds again after that; `evacuationEnded`: the
 * evacuation of its failure domain has ended.
 */
export type ColdReason =
  'registered' | 'started' | 'unreached' | 'returned' | 'evacuationEnded';

/** Dependencies of {@link SlowStarts}. */
export interface SlowStartsOptions {
  readonly bounds: SlowStartBounds;
  readonly servers: ServerTable;
  /** Address of this host, by which the others know it. */
  readonly address: string;
  readonly listOtherAddresses: () => readonly string[];
  /** True once the hosts that were started together have been listed. */
  readonly hasHostList: () => boolean;
  /** When a message of another host last arrived; -Infinity before the first. */
  readonly readHeardMs: () => number;
  /** When a message of a host that isn't listed last arrived. */
  readonly readUnlistedHeardMs: () => number;
  /** Finds a service in the newest configuration. */
  readonly findService: (name: string) => ForwardService | undefined;
  readonly logger: Logger;
  readonly metrics: MetricRegistry;
}

/** A run of a server that has been registered. */
interface KnownServer {
  server: RegisteredServer;
  /** The latest reason to hold it to be cold. */
  reason: ColdReason;
  /** It is cold until then by its registration. */
  statedUntilMs: number;
  /** Since then it is assumed to be cold; its registration doesn't tell. */
  assumedSinceMs: number;
  /** When it last refused a connection, if it hasn't responded since. */
  unreachedMs: number;
  share: ComputedShare | undefined;
  /** It has been logged as cold. */
  isLogged: boolean;
  seenMs: number;
}

/** A share and what it was computed from. */
interface ComputedShare {
  readonly share: SlowStartShare;
  /** The other hosts that may send to the server. */
  readonly senders: readonly string[];
  readonly requestsPerS: number;
  /** The host registry replaces the list on a change. */
  readonly otherAddresses: readonly string[];
  readonly knowledge: HostKnowledge;
  readonly bounds: SlowStartBounds;
}

/** A cold server and the other hosts that may send to it. */
export interface ColdServer {
  readonly server: RegisteredServer;
  readonly senders: readonly string[];
}

/** The time and the rate with which the servers of a service start. */
interface ColdStart {
  readonly coldMs: number;
  readonly requestsPerS: number;
}

const MS_PER_S = 1000;
/** Longer times of servers and services are not believed. */
const MAX_COLD_MS = 3_600_000;
/**
 * Without a message for this time, or with one of a host that isn't listed, the host
 * list may be old. Hosts hear of a probe of the store by one of them about once a
 * second.
 */
const SILENCE_MS = 5000;
/** Time for which the run of a server that is gone is remembered. */
const MEMORY_MS = 600_000;
/** Servers and services remembered as unreadable. */
const MAX_UNREADABLE = 1000;

/**
 * Knows which servers are cold, and sets in the server table what this host may
 * send to them. All hosts learn of a cold server from its registration, so that
 * the shares need no message.
 */
export class SlowStarts {
  private readonly known = new Map<string, KnownServer>();
  private readonly cold = new Set<KnownServer>();
  /** Servers and services whose time or rate was logged as unreadable. */
  private readonly unreadable = new Set<string>();
  private bounds: SlowStartBounds;

  private constructor(private readonly options: SlowStartsOptions) {
    this.bounds = options.bounds;
    options.metrics.registerGauge('cold_servers', () => this.countCold());
  }

  /**
   * @example
   * ```ts
   * const slowStarts = SlowStarts.create(options);
   * slowStarts.recordRegistration(server, 'later');
   * slowStarts.assumeCold([server], 'evacuationEnded');
   * ```
   */
  static create(options: SlowStartsOptions): SlowStarts {
    return new SlowStarts(options);
  }

  /** Applies changed bounds. */
  configure(bounds: SlowStartBounds): void {
    this.bounds = bounds;
    this.refresh();
  }

  /**
   * Records the registration of a server that is in the server table.
   *
   * @param occasion `firstList`: the server was in the first list of the store, so
   *     that it may have started long ago; `listed`: it was known before;
   *     `appeared`: it wasn't.
   */
  recordRegistration(
    server: RegisteredServer,
    occasion: 'firstList' | 'listed' | 'appeared',
  ): void {
    const nowMs = performance.now();
    const before = this.known.get(server.id);
    const isNewRun = isOtherRun(before?.server, server, occasion);
    const entry =
      before === undefined || isNewRun ? createKnown(server, nowMs) : before;
    const isNews = entry !== before || isOtherUpdate(before.server, server);
    if (before !== undefined && entry !== before) this.cold.delete(before);
    entry.server = server;
    entry.seenMs = nowMs;
    this.known.set(server.id, entry);
    if (isNews)
      this.recordUpdate(entry, isNewRun && occasion !== 'firstList', nowMs);
    this.update(entry, nowMs);
  }

  /**
   * Holds servers to be cold from now on, until their registrations change or the
   * time to warm up of their service has passed.
   */
  assumeCold(servers: readonly RegisteredServer[], reason: ColdReason): void {
    for (const server of servers) {
      this.change(server, (entry, nowMs) => {
        entry.reason = reason;
        entry.assumedSinceMs = nowMs;
      });
    }
  }

  /** Records that a server has refused a connection, so that it may be starting. */
  recordUnreached(server: RegisteredServer): void {
    this.change(server, (entry, nowMs) => {
      if (entry.unreachedMs === -Infinity) entry.reason = 'unreached';
      entry.unreachedMs = nowMs;
    });
  }

  /** Records that a server has responded. */
  recordReached(server: RegisteredServer): void {
    const unreachedMs = this.known.get(server.id)?.unreachedMs ?? -Infinity;
    if (unreachedMs === -Infinity) return;
    this.change(server, (entry, nowMs) => {
      entry.reason = 'returned';
      entry.unreachedMs = -Infinity;
      entry.assumedSinceMs = nowMs;
    });
  }

  /** Ends the doubts about servers of a service to which only the links failed. */
  forgetUnreached(service: string): void {
    for (const {server} of this.known.values()) {
      if (server.service !== service) continue;
      this.change(server, entry => {
        entry.unreachedMs = -Infinity;
      });
    }
  }

  /** Lists the cold servers of a service, and the hosts that may send to them. */
  listCold(service: string): readonly ColdServer[] {
    return [...this.cold].flatMap(({server, share}) =>
      server.service === service && share !== undefined
        ? [{server, senders: share.senders}]
        : [],
    );
  }

  /** Follows changes of the host list and the configuration, and the time. */
  refresh(): void {
    const nowMs = performance.now();
    for (const [id, entry] of this.known) {
      const listed = this.options.servers.find(id);
      if (listed === undefined) {
        this.cold.delete(entry);
        if (nowMs - entry.seenMs > MEMORY_MS) this.known.delete(id);
      } else {
        entry.seenMs = nowMs;
        this.update(entry, nowMs);
      }
    }
  }

  /** Takes over what the registration of a server says, or leaves out. */
  private recordUpdate(
    entry: KnownServer,
    hasStarted: boolean,
    nowMs: number,
  ): void {
    const {id, coldMs} = entry.server;
    const statedMs = this.readTime(coldMs, `server ${id}`);
    if (statedMs !== undefined) {
      entry.reason = 'registered';
      entry.statedUntilMs = nowMs + statedMs;
      entry.assumedSinceMs = -Infinity;
      entry.unreachedMs = -Infinity;
    } else if (hasStarted) {
      entry.reason = 'started';
      entry.assumedSinceMs = nowMs;
    }
  }

  private change(
    server: RegisteredServer,
    apply: (entry: KnownServer, nowMs: number) => void,
  ): void {
    const entry = this.known.get(server.id);
    if (entry === undefined || isOtherRun(entry.server, server, 'listed'))
      return;
    const nowMs = performance.now();
    apply(entry, nowMs);
    this.update(entry, nowMs);
  }

  /** Sets what this host may send to a server. */
  private update(entry: KnownServer, nowMs: number): void {
    const {servers} = this.options;
    const {server} = entry;
    const slowStart = servers.find(server.id)?.availability.slowStart;
    const coldStart = this.findColdStart(server.service);
    const untilMs = coldStart ? findEndMs(entry, coldStart.coldMs) : -Infinity;
    if (coldStart === undefined || nowMs >= untilMs) {
      this.cold.delete(entry);
      this.logWarm(entry);
      // The sends of the last window still count if the server turns cold again.
      if (slowStart !== undefined && slowStart.untilMs > nowMs)
        servers.setSlowStart(server, {...slowStart, untilMs: nowMs});
      return;
    }
    const share = this.computeShare(entry, coldStart);
    servers.setSlowStart(server, {
      nextDueMs: slowStart?.nextDueMs ?? nowMs,
      writtenMs: slowStart?.writtenMs ?? [],
      grantedUntilMs: slowStart?.grantedUntilMs ?? [],
      ...share,
      untilMs,
    });
    this.cold.add(entry);
    this.logCold(entry, share, untilMs - nowMs);
  }

  private computeShare(
    entry: KnownServer,
    {requestsPerS}: ColdStart,
  ): SlowStartShare {
    const {bounds} = this;
    const otherAddresses = this.options.listOtherAddresses();
    const knowledge = this.findKnowledge();
    const basis = {requestsPerS, otherAddresses, knowledge, bounds};
    const request = {
      ...basis,
      serverId: entry.server.id,
      address: this.options.address,
    };
    const known = entry.share;
    if (known !== undefined && hasSameBasis(known, basis)) return known.share;
    const share = computeSlowStartShare(request);
    entry.share = {...basis, share, senders: listSlowStartSenders(request)};
    return share;
  }

  private findKnowledge(): HostKnowledge {
    const {hasHostList, readHeardMs, readUnlistedHeardMs} = this.options;
    if (!hasHostList()) return 'unlisted';
    const earliestMs = performance.now() - SILENCE_MS;
    const isDoubtful =
      readHeardMs() < earliestMs || readUnlistedHeardMs() >= earliestMs;
    return isDoubtful ? 'doubtful' : 'known';
  }

  private findColdStart(name: string): ColdStart | undefined {
    const service = this.options.findService(name);
    if (service === undefined) return undefined;
    const {coldStartMs, coldRequestsPerS} = service;
    const coldMs = this.readTime(coldStartMs, `service ${name}`);
    const requestsPerS = this.readRate(coldRequestsPerS, `service ${name}`);
    return coldMs && requestsPerS ? {coldMs, requestsPerS} : undefined;
  }

  private readTime(
    timeMs: number | undefined,
    subject: string,
  ): number | undefined {
    if (timeMs === undefined || (timeMs >= 0 && timeMs <= MAX_COLD_MS))
      return timeMs;
    this.logUnreadable(subject, timeMs);
    return undefined;
  }

  private readRate(
    requestsPerS: number | undefined,
    subject: string,
  ): number | undefined {
    if (requestsPerS === undefined || requestsPerS >= 0) return requestsPerS;
    this.logUnreadable(subject, requestsPerS);
    return undefined;
  }

  private logUnreadable(subject: string, value: number): void {
    if (this.unreadable.has(subject)) return;
    if (this.unreadable.size >= MAX_UNREADABLE) this.unreadable.clear();
    this.unreadable.add(subject);
    this.options.logger.warn('cold_start_unreadable', {subject, value});
  }

  private logCold(
    entry: KnownServer,
    {intervalMs}: SlowStartShare,
    remainingMs: number,
  ): void {
    if (entry.isLogged) return;
    entry.isLogged = true;
    this.options.logger.info('server_cold', {
      server: entry.server.id,
      reason: entry.reason,
      remainingMs: Math.round(remainingMs),
      sharePerS: (MS_PER_S / intervalMs).toFixed(2),
    });
  }

  private logWarm(entry: KnownServer): void {
    if (!entry.isLogged) return;
    entry.isLogged = false;
    this.options.logger.info('server_warm', {server: entry.server.id});
  }

  private countCold(): number {
    return this.cold.size;
  }
}

/** True if a registration belongs to another run of a server, or the first. */
function isOtherRun(
  before: RegisteredServer | undefined,
  server: RegisteredServer,
  occasion: 'firstList' | 'listed' | 'appeared',
): boolean {
  if (before === undefined) return true;
  // Without the start, a server that was gone may have started anew.
  if (server.startedAtMs === undefined && occasion === 'appeared') return true;
  return before.startedAtMs !== server.startedAtMs;
}

/** True if a registration was written since the one before. */
function isOtherUpdate(
  before: RegisteredServer,
  server: RegisteredServer,
): boolean {
  return (
    before.registrationVersion !== server.registrationVersion ||
    // NaN differs from itself.
    !Object.is(before.coldMs, server.coldMs)
  );
}

/** When a server is warm by all that is known of it. */
function findEndMs(
  {statedUntilMs, assumedSinceMs, unreachedMs}: KnownServer,
  coldMs: number,
): number {
  return Math.max(statedUntilMs, assumedSinceMs + coldMs, unreachedMs + coldMs);
}

function hasSameBasis(
  known: ComputedShare,
  basis: Omit<ComputedShare, 'share' | 'senders'>,
): boolean {
  return (
    known.otherAddresses === basis.otherAddresses &&
    known.knowledge === basis.knowledge &&
    known.requestsPerS === basis.requestsPerS &&
    known.bounds === basis.bounds
  );
}

function createKnown(server: RegisteredServer, nowMs: number): KnownServer {
  return {
    server,
    reason: 'registered',
    statedUntilMs: -Infinity,
    assumedSinceMs: -Infinity,
    unreachedMs: -Infinity,
    share: undefined,
    isLogged: false,
    seenMs: nowMs,
  };
}
