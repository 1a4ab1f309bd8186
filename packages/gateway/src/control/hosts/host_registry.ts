import {
  delay,
  isObjectStoreError,
  parseJsonObject,
  readNumber,
  readString,
  type JsonObject,
} from '@anvilrudder/clients';
import {isSocketAddress, type ObjectStore} from '@anvilrudder/core';
import type {Logger} from '@anvilrudder/observability';
import type {WatchedKind} from '../store/watch_kind.js';

/** Entry of a host in the store, which the other hosts read. */
export interface HostEntry {
  /** `ip:port` for datagrams and relayed requests. */
  readonly address: string;
  /** Undefined in entries of earlier builds. */
  readonly failureDomain?: string;
  /**
   * Unix time in milliseconds of the host's start, by its own clock. Undefined in
   * entries of earlier builds.
   */
  readonly startedAtMs?: number;
}

/** Intervals of the host registry. */
export interface HostRegistryIntervals {
  /**
   * Mean delay between registering and the second list, by when hosts that were
   * started together have registered. Default 3000.
   */
  readonly secondListMs?: number;
  /** Mean time between two lists. Default 15000. */
  readonly listPeriodMs?: number;
  /**
   * Maximum random delay at the start, and mean delay after a failure. Default
   * 2000.
   */
  readonly retryMs?: number;
}

/** Dependencies and intervals of the host registry. */
export interface HostRegistryOptions extends HostRegistryIntervals {
  readonly store: ObjectStore;
  readonly kind: WatchedKind<HostEntry>;
  readonly host: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly logger: Logger;
  readonly random: () => number;
}

const DEFAULTS = {
  secondListMs: 3000,
  listPeriodMs: 15_000,
  retryMs: 2000,
} as const satisfies HostRegistryIntervals;

/** Decodes the entry of a host; undefined if it has no valid address. */
export function readHostEntry(entry: JsonObject): HostEntry | undefined {
  const address = readString(entry, 'address');
  const failureDomain = readString(entry, 'failureDomain');
  if (address === undefined || !isSocketAddress(address)) return undefined;
  const startedAtMs = readNumber(entry, 'startedAtMs');
  return {address, failureDomain, startedAtMs};
}

/**
 * Registers this host in the store and lists the other hosts that serve the
 * same callers. The list is polled rather than watched, because missing a host
 * for some seconds does little harm. If the entry of this host is missing in a
 * list, or the store has returned from an older copy, the host registers again.
 */
export class HostRegistry {
  private otherHosts: readonly HostEntry[] = [];
  private otherAddresses: readonly string[] = [];
  private hasListed = false;
  private readonly startedAtMs = Date.now();
  /** False if this host's entry may be missing in the store. */
  private isRegistered = false;
  private wake: () => void = () => undefined;

  private constructor(
    private readonly options: Required<HostRegistryOptions>,
  ) {}

  static create(options: HostRegistryOptions): HostRegistry {
    return new HostRegistry({...DEFAULTS, ...options});
  }

  /** Number of known hosts, including this one. */
  get count(): number {
    return this.otherAddresses.length + 1;
  }

  /** True once the hosts that were started together have been listed. */
  get hasHostList(): boolean {
    return this.hasListed;
  }

  /** `ip:port` of each other host. */
  get addresses(): readonly string[] {
    return this.otherAddresses;
  }

  /** The other hosts. */
  get entries(): readonly HostEntry[] {
    return this.otherHosts;
  }

  /** Registers this host and lists the others until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const {store, random, secondListMs, listPeriodMs, retryMs} = this.options;
    const jitter = (): number => 0.5 + random();
    const stopListening = store.era?.onChange(() => {
      this.isRegistered = false;
      this.wake();
    });
    const stop = (): void => {
      stopListening?.();
      this.wake();
    };
    signal.addEventListener('abort', stop, {once: true});
    let waitMs = random() * retryMs;
    while (!signal.aborted) {
      const isWoken = await this.sleep(waitMs);
      if (signal.aborted) return;
      if (isWoken) {
        waitMs = random() * retryMs;
        continue;
      }
      try {
        if (!this.isRegistered) {
          const era = store.era?.current;
          await this.register();
          // An entry written in an earlier era may be lost.
          this.isRegistered = era === undefined || era === store.era?.current;
          // A restarted host ignores what others tell it until it knows them.
          if (!this.hasListed) await this.list();
          waitMs = secondListMs * jitter();
          continue;
        }
        await this.list();
        this.hasListed = true;
        waitMs = (this.isRegistered ? listPeriodMs : retryMs) * jitter();
      } catch (error) {
        if (!isObjectStoreError(error)) throw error;
        waitMs = retryMs * jitter();
        this.options.logger.info('hosts_unlisted', {failure: error.failure});
      }
    }
  }

  /** Returns true if the wait was ended by {@link wake}. */
  private async sleep(durationMs: number): Promise<boolean> {
    const wakeController = new AbortController();
    this.wake = () => wakeController.abort();
    await delay(durationMs, wakeController.signal);
    return wakeController.signal.aborted;
  }

  private async register(): Promise<void> {
    const {store, kind, host, address, failureDomain} = this.options;
    const key = `${kind.prefix}${host}`;
    const value = JSON.stringify({
      address,
      failureDomain,
      startedAtMs: this.startedAtMs,
    });
    const result = await store.put(key, value, {kind: 'absent'});
    if (result.status === 'written') return;
    // The entry is left from an earlier run of this host.
    await store.put(key, value, {kind: 'any'});
  }

  private async list(): Promise<void> {
    const {store, kind, address, logger} = this.options;
    const found: HostEntry[] = [];
    let isListed = false;
    let after: string | undefined;
    do {
      const page = await store.list(kind.prefix, after, {isStaleAllowed: true});
      for (const {key, value} of page.objects) {
        const json = parseJsonObject(value);
        const name = key.slice(kind.prefix.length);
        const entry = json && kind.decode(name, json);
        if (entry === undefined) continue;
        if (entry.address === address) isListed = true;
        else found.push(entry);
      }
      after = page.nextAfter;
    } while (after !== undefined);
    const foundAddresses = found.map(entry => entry.address);
    const isChanged = foundAddresses.join() !== this.otherAddresses.join();
    this.logRestarts(found);
    this.otherHosts = found;
    this.otherAddresses = foundAddresses;
    if (!isListed) {
      this.isRegistered = false;
      logger.info('host_unlisted', {address});
    }
    if (isChanged) logger.info('hosts_listed', {others: found.length});
  }

  /** A host that has started anew has lost the requests of its run before. */
  private logRestarts(found: readonly HostEntry[]): void {
    for (const {address, startedAtMs} of found) {
      const known = this.otherHosts.find(host => host.address === address);
      if (known === undefined || known.startedAtMs === startedAtMs) continue;
      this.options.logger.warn('host_restarted', {
        byHost: address,
        startedAtMs,
        startedBeforeAtMs: known.startedAtMs,
      });
    }
  }
}
