import {createSocket, type RemoteInfo, type Socket} from 'node:dgram';
import type {ServerTable} from '@anvilrudder/core';
import type {Logger, MetricRegistry} from '@anvilrudder/observability';
import type {ListenAddress} from '../config/settings.js';
import type {HostRegistry} from './host_registry.js';

/** What an exchange works with. */
export interface LoadExchangeOptions {
  readonly listen: ListenAddress;
  readonly hosts: HostRegistry;
  readonly servers: ServerTable;
  readonly logger: Logger;
  readonly metrics: MetricRegistry;
  readonly random: () => number;
}

/** Reading below this is not worth a datagram. */
const MIN_WORK_MS = 40;
/** Hosts told of one send at most; a random part of more of them. */
const MAX_TOLD = 40;
/** No single send keeps a server busy for longer. */
const MAX_WORK_MS = 20_000;
const FORMAT = 'w1';

/**
 * Tells the other hosts of each send that makes a server read for long, so
 * that they do not send theirs to the same one. A lost datagram costs only a
 * worse choice.
 */
export class LoadExchange {
  private constructor(
    private readonly socket: Socket,
    private readonly options: LoadExchangeOptions,
  ) {
    socket.on('message', (message, from) => this.receive(message, from));
    socket.on('error', error => {
      options.logger.warn('load_exchange_failed', {message: error.message});
    });
    socket.bind(options.listen.port, options.listen.address);
  }

  static create(options: LoadExchangeOptions): LoadExchange {
    return new LoadExchange(createSocket('udp4'), options);
  }

  /** Tells the other hosts that a server has to read for some time. */
  announce(serverId: string, workMs: number): void {
    if (workMs < MIN_WORK_MS) return;
    const message = `${FORMAT} ${serverId} ${Math.round(workMs)}`;
    for (const address of this.chooseTold()) {
      const [ip, port] = address.split(':');
      this.socket.send(message, Number(port), ip, error => {
        if (error) this.options.metrics.count('load_datagrams_failed_total');
      });
    }
  }

  close(): void {
    this.socket.close();
  }

  private chooseTold(): readonly string[] {
    const {hosts, random} = this.options;
    const {addresses} = hosts;
    if (addresses.length <= MAX_TOLD) return addresses;
    const first = Math.floor(random() * addresses.length);
    return Array.from(
      {length: MAX_TOLD},
      (_, index) => addresses[(first + index) % addresses.length],
    );
  }

  private receive(message: Buffer, from: RemoteInfo): void {
    const {hosts, servers, metrics} = this.options;
    const sender = `${from.address}:${from.port}`;
    const [format, serverId, work] = message.toString('latin1').split(' ');
    const workMs = Number(work);
    const isSound = format === FORMAT && workMs > 0 && workMs <= MAX_WORK_MS;
    if (!isSound || !hosts.addresses.includes(sender)) {
      metrics.count('load_datagrams_ignored_total');
      return;
    }
    metrics.count('load_datagrams_total');
    servers.noteRemoteWork(serverId, workMs, performance.now());
  }
}
