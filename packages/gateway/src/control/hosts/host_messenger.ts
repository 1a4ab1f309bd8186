import {randomUUID} from 'node:crypto';
import {createSocket, type RemoteInfo, type Socket} from 'node:dgram';
import type {
  PaceObserver,
  PromptPart,
  ReachNotice,
  RemoteWork,
  ServerTable,
} from '@anvilrudder/core';
import type {Logger, MetricRegistry} from '@anvilrudder/observability';
import type {ListenAddress} from '../../config/settings.js';
import {
  decodeBrittleAnnouncement,
  encodeBrittleAnnouncement,
  type BrittleAnnouncement,
} from '../servers/brittle_announcement.js';
import {
  decodeCrashAnnouncement,
  encodeCrashAnnouncement,
  type CrashAnnouncement,
} from '../servers/crash_announcement.js';
import type {HostRegistry} from './host_registry.js';
import {
  decodeLimitAnnouncement,
  encodeLimitAnnouncement,
  type LimitAnnouncement,
} from '../servers/limit_announcement.js';
import {
  decodeRolloutAnnouncement,
  encodeRolloutAnnouncement,
  type RolloutAnnouncement,
} from '../rollouts/rollout_announcement.js';
import {
  decodeTokenMessage,
  encodeTokenMessage,
  type TokenMessage,
} from '../servers/token_message.js';
import type {AnnouncementReach} from './announcement_reach.js';
import {decodePaces, encodePaces} from './pace_fields.js';
import {decodeReachNotice, encodeReachNotice} from './reach_notice.js';
import {
  decodeStoreProbe,
  encodeStoreProbe,
  type StoreProbe,
} from '../store/store_probe.js';
import type {SeenVersion} from '../store/store_version_tracker.js';

/** Dependencies of the messenger between hosts. */
export interface HostMessengerOptions {
  readonly listen: ListenAddress;
  readonly hosts: HostRegistry;
  readonly servers: ServerTable;
  /** Its observations are sent along; undefined if paces are not learnt. */
  readonly paces?: PaceObserver;
  /** Called with what a run of another host tells about a rollout. */
  readonly onRollout: (
    member: string,
    announcement: RolloutAnnouncement,
  ) => void;
  /** Called with what another host tells about brittle servers. */
  readonly onBrittle: (announcement: BrittleAnnouncement) => void;
  /** Called with what another host tells about crashes of servers. */
  readonly onCrash: (announcement: CrashAnnouncement) => void;
  /** Called with what another host tells about the limit of a server. */
  readonly onLimit: (announcement: LimitAnnouncement) => void;
  /** Called with what another host says of its links to a service. */
  readonly onReachNotice: (notice: ReachNotice, sender: string) => void;
  /** Called with what a probe of the store by another host has shown. */
  readonly onStoreProbe: (probe: StoreProbe) => void;
  /** Called with the newest store version that another host has seen. */
  readonly onStoreVersion: (seen: SeenVersion) => void;
  /**
   * Called with a message about tokens of cold servers; undefined if this host has
   * no slow start.
   */
  readonly onToken?: (message: TokenMessage, sender: string) => void;
  readonly logger: Logger;
  readonly metrics: MetricRegistry;
  readonly random: () => number;
}

/** Handles the fields of a datagram; returns false if they are malformed. */
type FieldHandler = (fields: readonly string[], sender: string) => boolean;

/** Shorter prefills are not worth a datagram. */
const MIN_ANNOUNCED_WORK_MS = 40;
/** Maximum recipients of a datagram; with more hosts, a random subset. */
const MAX_RECIPIENTS = 40;
const MAX_RECIPIENTS_BY_REACH: Readonly<Record<AnnouncementReach, number>> = {
  allHosts: Infinity,
  someHosts: MAX_RECIPIENTS,
  fewHosts: 4,
};
/** Maximum work that one send can cause; higher values count as malformed. */
const MAX_WORK_MS = 20_000;
const IPV4_FAMILY = 4;
const WORK_FORMAT = 'w2';
/** Maximum prompt parts in a datagram, so that it fits into one packet. */
const MAX_ANNOUNCED_PARTS = 12;
const ROLLOUT_FORMAT = 'r1';
const CRASH_FORMAT = 'c1';
const BRITTLE_FORMAT = 'b1';
const LIMIT_FORMAT = 'l1';
const REACH_FORMAT = 'u1';
const TOKEN_FORMAT = 't1';
const STORE_VERSION_FORMAT = 'n1';
const STORE_PROBE_FORMAT = 'p1';
/** Maximum recipients of a store version, which most hosts see themselves. */
const MAX_STORE_VERSION_RECIPIENTS = 4;

/**
 * Exchanges datagrams with the other hosts. A host announces each send with a
 * long prefill, so that the others avoid that server, its counts of a version in
 * rollout, and the newest versions that it has seen in the store. A lost
 * datagram only leads to a worse or later decision.
 */
export class HostMessenger {
  private readonly handlers: ReadonlyMap<string, FieldHandler> = new Map([
    [WORK_FORMAT, fields => this.receiveWork(fields)],
    [ROLLOUT_FORMAT, (fields, sender) => this.receiveRollout(fields, sender)],
    [BRITTLE_FORMAT, fields => this.receiveBrittle(fields)],
    [CRASH_FORMAT, fields => this.receiveCrash(fields)],
    [LIMIT_FORMAT, fields => this.receiveLimit(fields)],
    [REACH_FORMAT, (fields, sender) => this.receiveReach(fields, sender)],
    [TOKEN_FORMAT, (fields, sender) => this.receiveToken(fields, sender)],
    [STORE_VERSION_FORMAT, fields => this.receiveStoreVersion(fields)],
    [STORE_PROBE_FORMAT, fields => this.receiveStoreProbe(fields)],
  ]);

  private lastHeardMs = -Infinity;
  private lastUnlistedHeardMs = -Infinity;

  /** Distinguishes this run of the host from earlier ones. */
  private readonly runId = randomUUID();

  /** The elements of `knownAddresses`, for a look-up with each datagram. */
  private knownSenders: ReadonlySet<string> = new Set();
  private knownAddresses: readonly string[] = [];

  private readonly countFailure = (error: Error | null): void => {
    if (error) this.options.metrics.count('load_datagrams_failed_total');
  };

  private constructor(
    private readonly socket: Socket,
    private readonly options: HostMessengerOptions,
  ) {
    socket.on('message', (message, from) => this.receive(message, from));
    socket.on('error', error => {
      options.logger.warn('load_exchange_failed', {message: error.message});
    });
    socket.bind(options.listen.port, options.listen.address);
  }

  static create(options: HostMessengerOptions): HostMessenger {
    const socket = createSocket({type: 'udp4', lookup: skipLookup});
    return new HostMessenger(socket, options);
  }

  /** When a datagram of another host last arrived; -Infinity before the first. */
  get heardMs(): number {
    return this.lastHeardMs;
  }

  /** When a datagram of a host that isn't listed last arrived. */
  get unlistedHeardMs(): number {
    return this.lastUnlistedHeardMs;
  }

  /** Announces the prefill that a send causes at a server. */
  announceWork({serverId, workMs, model, parts}: RemoteWork): void {
    if (workMs < MIN_ANNOUNCED_WORK_MS) return;
    const announcedParts = parts.slice(0, MAX_ANNOUNCED_PARTS);
    const encodedParts = announcedParts
      .map(({id, tokens}) => `${id}:${tokens}`)
      .join();
    const fields = [serverId, Math.round(workMs), model, encodedParts];
    const paces = encodePaces(this.options.paces?.takeUnreported() ?? []);
    if (paces !== '') fields.push(paces);
    this.send([WORK_FORMAT, ...fields].join(' '));
  }

  /** Announces the answers and findings of this host on a rollout. */
  announceRollout(
    announcement: RolloutAnnouncement,
    reach: AnnouncementReach,
  ): void {
    const fields = encodeRolloutAnnouncement(announcement);
    this.send(
      [ROLLOUT_FORMAT, this.runId, ...fields].join(' '),
      MAX_RECIPIENTS_BY_REACH[reach],
    );
  }

  /** Announces crashes of servers and the requests that cause them. */
  announceCrash(
    announcement: CrashAnnouncement,
    reach: AnnouncementReach,
  ): void {
    const fields = encodeCrashAnnouncement(announcement);
    this.send(
      [CRASH_FORMAT, ...fields].join(' '),
      MAX_RECIPIENTS_BY_REACH[reach],
    );
  }

  /** Announces brittle servers and their rejections. */
  announceBrittle(
    announcement: BrittleAnnouncement,
    reach: AnnouncementReach,
  ): void {
    const fields = encodeBrittleAnnouncement(announcement);
    this.send(
      [BRITTLE_FORMAT, ...fields].join(' '),
      MAX_RECIPIENTS_BY_REACH[reach],
    );
  }

  /** Announces the limit of a server, or its end. */
  announceLimit(
    announcement: LimitAnnouncement,
    reach: AnnouncementReach,
  ): void {
    const fields = encodeLimitAnnouncement(announcement);
    this.send(
      [LIMIT_FORMAT, ...fields].join(' '),
      MAX_RECIPIENTS_BY_REACH[reach],
    );
  }

  /** Announces to all hosts whether this one reaches a service. */
  announceReach(notice: ReachNotice): void {
    this.send(
      [REACH_FORMAT, ...encodeReachNotice(notice)].join(' '),
      MAX_RECIPIENTS_BY_REACH.allHosts,
    );
  }

  /** Announces the version of an object in the store to some of the hosts. */
  announceStoreVersion({kind, version, era}: SeenVersion): void {
    const fields = [kind, version, ...(era === undefined ? [] : [era])];
    this.send(
      [STORE_VERSION_FORMAT, ...fields].join(' '),
      MAX_STORE_VERSION_RECIPIENTS,
    );
  }

  /** Announces what a probe of the store has shown to all hosts. */
  announceStoreProbe(probe: StoreProbe): void {
    this.send(
      [STORE_PROBE_FORMAT, ...encodeStoreProbe(probe)].join(' '),
      MAX_RECIPIENTS_BY_REACH.allHosts,
    );
  }

  /** Sends a message about a token of a cold server to one host. */
  sendToken(address: string, message: TokenMessage): void {
    const fields = encodeTokenMessage(message);
    this.sendTo(address, [TOKEN_FORMAT, ...fields].join(' '));
  }

  private send(message: string, maxRecipients = MAX_RECIPIENTS): void {
    const bytes = Buffer.from(message);
    for (const address of this.chooseRecipients(maxRecipients))
      this.sendTo(address, bytes);
  }

  private sendTo(address: string, message: string | Buffer): void {
    const [ip, port] = address.split(':');
    this.socket.send(message, Number(port), ip, this.countFailure);
  }

  close(): void {
    this.socket.close();
  }

  private chooseRecipients(maxRecipients: number): readonly string[] {
    const {hosts, random} = this.options;
    const {addresses} = hosts;
    if (addresses.length <= maxRecipients) return addresses;
    const first = Math.floor(random() * addresses.length);
    return Array.from(
      {length: maxRecipients},
      (_, index) => addresses[(first + index) % addresses.length],
    );
  }

  private receive(message: Buffer, from: RemoteInfo): void {
    const {hosts, metrics} = this.options;
    const sender = `${from.address}:${from.port}`;
    const [format, ...fields] = message.toString('latin1').split(' ');
    const handle = this.handlers.get(format);
    const isKnown = this.isKnownHost(hosts.addresses, sender);
    if (!isKnown && handle !== undefined)
      this.lastUnlistedHeardMs = performance.now();
    if (!isKnown || handle === undefined || !handle(fields, sender)) {
      metrics.count('load_datagrams_ignored_total');
      return;
    }
    this.lastHeardMs = performance.now();
    metrics.count('load_datagrams_total');
  }

  // The registry replaces its list on a change.
  private isKnownHost(addresses: readonly string[], sender: string): boolean {
    if (addresses !== this.knownAddresses) {
      this.knownAddresses = addresses;
      this.knownSenders = new Set(addresses);
    }
    return this.knownSenders.has(sender);
  }

  private receiveWork(fields: readonly string[]): boolean {
    const [serverId, work, model, encodedParts, encodedPaces] = fields;
    const workMs = Number(work);
    if (!(workMs > 0 && workMs <= MAX_WORK_MS)) return false;
    const parts =
      encodedParts === undefined ? undefined : parsePromptParts(encodedParts);
    if (parts === undefined) return false;
    const {servers} = this.options;
    const nowMs = performance.now();
    servers.recordRemoteWork({serverId, workMs, model, parts}, nowMs);
    return encodedPaces === undefined || this.receivePaces(encodedPaces, nowMs);
  }

  // Earlier builds neither send nor read the paces.
  private receivePaces(encodedPaces: string, nowMs: number): boolean {
    const received = decodePaces(encodedPaces);
    if (received === undefined) return false;
    const {servers, paces} = this.options;
    if (paces === undefined) return true;
    for (const pace of received) servers.recordPace(pace, nowMs);
    return true;
  }

  // The era is missing in datagrams of earlier builds.
  private receiveStoreVersion(fields: readonly string[]): boolean {
    const [kind, versionField, eraField] = fields;
    const version = Number(versionField);
    const era = eraField === undefined ? undefined : Number(eraField);
    if (!Number.isSafeInteger(version)) return false;
    if (era !== undefined && !Number.isSafeInteger(era)) return false;
    this.options.onStoreVersion({kind, version, era});
    return true;
  }

  private receiveStoreProbe(fields: readonly string[]): boolean {
    const probe = decodeStoreProbe(fields);
    if (probe === undefined) return false;
    this.options.onStoreProbe(probe);
    return true;
  }

  private receiveCrash(fields: readonly string[]): boolean {
    const announcement = decodeCrashAnnouncement(fields);
    if (announcement === undefined) return false;
    this.options.onCrash(announcement);
    return true;
  }

  private receiveBrittle(fields: readonly string[]): boolean {
    const announcement = decodeBrittleAnnouncement(fields);
    if (announcement === undefined) return false;
    this.options.onBrittle(announcement);
    return true;
  }

  private receiveLimit(fields: readonly string[]): boolean {
    const announcement = decodeLimitAnnouncement(fields);
    if (announcement === undefined) return false;
    this.options.onLimit(announcement);
    return true;
  }

  private receiveToken(fields: readonly string[], sender: string): boolean {
    const message = decodeTokenMessage(fields);
    const {onToken} = this.options;
    if (message === undefined || onToken === undefined) return false;
    onToken(message, sender);
    return true;
  }

  private receiveReach(fields: readonly string[], sender: string): boolean {
    const notice = decodeReachNotice(fields);
    if (notice === undefined) return false;
    this.options.onReachNotice(notice, sender);
    return true;
  }

  private receiveRollout(fields: readonly string[], sender: string): boolean {
    const [runId, ...rest] = fields;
    const announcement = decodeRolloutAnnouncement(rest);
    if (announcement === undefined) return false;
    this.options.onRollout(`${sender}/${runId}`, announcement);
    return true;
  }
}

// Hosts are known by their IP address, so that no name has to be looked up.
function skipLookup(
  address: string,
  _options: unknown,
  done: (error: null, address: string, family: number) => void,
): void {
  done(null, address, IPV4_FAMILY);
}

/** Parses `id:tokens` entries; undefined if one is malformed. */
function parsePromptParts(
  encodedParts: string,
): readonly PromptPart[] | undefined {
  if (encodedParts === '') return [];
  const parts = encodedParts.split(',').map(entry => {
    const [id, tokens] = entry.split(':');
    return {id, tokens: Number(tokens)};
  });
  return parts.every(({tokens}) => tokens >= 0) ? parts : undefined;
}
