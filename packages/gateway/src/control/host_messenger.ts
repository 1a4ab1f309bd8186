import {createSocket, type RemoteInfo, type Socket} from 'node:dgram';
import type {PromptPart, RemoteWork, ServerTable} from '@anvilrudder/core';
import type {Logger, MetricRegistry} from '@anvilrudder/observability';
import type {ListenAddress} from '../config/settings.js';
import type {HostRegistry} from './host_registry.js';
import type {RemoteSample} from './rollout_controller.js';

/** What an exchange works with. */
export interface HostMessengerOptions {
  readonly listen: ListenAddress;
  readonly hosts: HostRegistry;
  readonly servers: ServerTable;
  /** Told of what another host saw of a new version. */
  readonly onSample: (sample: RemoteSample) => void;
  /** Told of the version of an object that another host saw in the store. */
  readonly onStoreVersion: (kind: string, version: number) => void;
  readonly logger: Logger;
  readonly metrics: MetricRegistry;
  readonly random: () => number;
}

/** Takes in the fields of a datagram; false when they are malformed. */
type FieldHandler = (fields: readonly string[]) => boolean;

/** Reading below this is not worth a datagram. */
const MIN_WORK_MS = 40;
/** Hosts told of one send at most; a random part of more of them. */
const MAX_TOLD = 40;
/** No single send keeps a server busy for longer. */
const MAX_WORK_MS = 20_000;
const WORK_FORMAT = 'w2';
/** Parts told of one prompt at most; a datagram stays below one packet. */
const MAX_TOLD_PARTS = 12;
const SAMPLE_FORMAT = 's1';
const NEWS_FORMAT = 'n1';
/** Hosts told of a version in the store; few of them fail to see it. */
const MAX_TOLD_NEWS = 4;

/**
 * Tells the other hosts of each send that makes a server read for long, so
 * that they do not send theirs to the same one, of each answer of a version in
 * roll-out, and of the newest objects in the store. A lost datagram costs only a worse or later choice.
 */
export class HostMessenger {
  private readonly handlers: ReadonlyMap<string, FieldHandler> = new Map([
    [WORK_FORMAT, fields => this.receiveWork(fields)],
    [SAMPLE_FORMAT, fields => this.receiveSample(fields)],
    [NEWS_FORMAT, fields => this.receiveNews(fields)],
  ]);

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
    return new HostMessenger(createSocket('udp4'), options);
  }

  /** Tells the other hosts that a server has to read parts for some time. */
  announceWork({serverId, workMs, model, parts}: RemoteWork): void {
    if (workMs < MIN_WORK_MS) return;
    const told = parts.slice(0, MAX_TOLD_PARTS);
    const text = told.map(({id, tokens}) => `${id}:${tokens}`).join();
    const fields = [serverId, Math.round(workMs), model, text];
    this.send([WORK_FORMAT, ...fields].join(' '));
  }

  /** Tells the other hosts of an answer of a new version. */
  announceSample({service, version, sample}: RemoteSample): void {
    const {route, hasFailed, slowness} = sample;
    const fields = [route, hasFailed ? 1 : 0, slowness?.toFixed(2) ?? ''];
    this.send([SAMPLE_FORMAT, service, version, ...fields].join(' '));
  }

  /** Tells some hosts of the version of an object in the store. */
  announceStoreVersion(kind: string, version: number): void {
    this.send(`${NEWS_FORMAT} ${kind} ${version}`, MAX_TOLD_NEWS);
  }

  private send(message: string, mostTold = MAX_TOLD): void {
    for (const address of this.chooseTold(mostTold)) {
      const [ip, port] = address.split(':');
      this.socket.send(message, Number(port), ip, error => {
        if (error) this.options.metrics.count('load_datagrams_failed_total');
      });
    }
  }

  close(): void {
    this.socket.close();
  }

  private chooseTold(most: number): readonly string[] {
    const {hosts, random} = this.options;
    const {addresses} = hosts;
    if (addresses.length <= most) return addresses;
    const first = Math.floor(random() * addresses.length);
    return Array.from(
      {length: most},
      (_, index) => addresses[(first + index) % addresses.length],
    );
  }

  private receive(message: Buffer, from: RemoteInfo): void {
    const {hosts, metrics} = this.options;
    const sender = `${from.address}:${from.port}`;
    const [format, ...fields] = message.toString('latin1').split(' ');
    const handle = this.handlers.get(format);
    const isKnown = hosts.addresses.includes(sender);
    if (!isKnown || handle === undefined || !handle(fields)) {
      metrics.count('load_datagrams_ignored_total');
      return;
    }
    metrics.count('load_datagrams_total');
  }

  private receiveWork(fields: readonly string[]): boolean {
    const [serverId, work, model, text] = fields;
    const workMs = Number(work);
    if (!(workMs > 0 && workMs <= MAX_WORK_MS)) return false;
    const parts = text === undefined ? undefined : readParts(text);
    if (parts === undefined) return false;
    const {servers} = this.options;
    servers.recordRemoteWork(
      {serverId, workMs, model, parts},
      performance.now(),
    );
    return true;
  }

  private receiveNews([kind, version]: readonly string[]): boolean {
    const value = Number(version);
    if (!Number.isSafeInteger(value)) return false;
    this.options.onStoreVersion(kind, value);
    return true;
  }

  private receiveSample(fields: readonly string[]): boolean {
    const [service, version, route, failed, slowness] = fields;
    if (slowness === undefined) return false;
    const value = slowness === '' ? undefined : Number(slowness);
    if (Number.isNaN(value)) return false;
    this.options.onSample({
      service,
      version,
      sample: {
        route,
        side: 'new',
        hasFailed: failed === '1',
        slowness: value,
      },
    });
    return true;
  }
}

/** Reads `id:tokens` entries; undefined when one is malformed. */
function readParts(text: string): readonly PromptPart[] | undefined {
  if (text === '') return [];
  const parts = text.split(',').map(entry => {
    const [id, tokens] = entry.split(':');
    return {id, tokens: Number(tokens)};
  });
  return parts.every(({tokens}) => tokens >= 0) ? parts : undefined;
}
