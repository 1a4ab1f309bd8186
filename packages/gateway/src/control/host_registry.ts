import {
  delay,
  isObjectStoreError,
  parseJsonObject,
  readString,
  type JsonObject,
} from '@anvilrudder/clients';
import type {ObjectStore} from '@anvilrudder/core';
import type {Logger} from '@anvilrudder/observability';
import type {WatchedKind} from './watch_kind.js';

/** What a host tells the others of itself. */
export interface HostEntry {
  /** `ip:port` for datagrams. */
  readonly address: string;
}

/** What a registry works with. */
export interface HostRegistryOptions {
  readonly store: ObjectStore;
  readonly kind: WatchedKind<HostEntry>;
  readonly host: string;
  readonly address: string;
  readonly logger: Logger;
  readonly random: () => number;
  /** Time after the start by which the hosts of a start registered; 3000. */
  readonly firstListMs?: number;
  /** Time between two lists; 15000. */
  readonly listPeriodMs?: number;
  /** Spread of the starts, and time after a failure; 2000. */
  readonly retryMs?: number;
}

const DEFAULTS = {
  firstListMs: 3000,
  listPeriodMs: 15_000,
  retryMs: 2000,
} as const satisfies Partial<HostRegistryOptions>;

/** Decodes the entry of a host. */
export function readHostEntry(entry: JsonObject): HostEntry | undefined {
  const address = readString(entry, 'address');
  return address === undefined ? undefined : {address};
}

/**
 * The hosts that serve the same callers, as the store lists them. They are
 * listed now and then: a host that is missed for some seconds costs little.
 */
export class HostRegistry {
  private others: readonly string[] = [];
  private isRegistered = false;

  private constructor(
    private readonly options: Required<HostRegistryOptions>,
  ) {}

  static create(options: HostRegistryOptions): HostRegistry {
    return new HostRegistry({...DEFAULTS, ...options});
  }

  /** Hosts that are known, this one included. */
  get count(): number {
    return this.others.length + 1;
  }

  /** False until the others have been listed. */
  get hasHostList(): boolean {
    return this.isRegistered;
  }

  /** `ip:port` of each other host. */
  get addresses(): readonly string[] {
    return this.others;
  }

  /** Registers this host and lists the others until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const {random, firstListMs, listPeriodMs, retryMs} = this.options;
    const jitter = (): number => 0.5 + random();
    let waitMs = random() * retryMs;
    let isWritten = false;
    while (!signal.aborted) {
      await delay(waitMs, signal);
      if (signal.aborted) return;
      try {
        if (!isWritten) {
          await this.register();
          isWritten = true;
          waitMs = firstListMs * jitter();
          continue;
        }
        await this.list();
        waitMs = listPeriodMs * jitter();
      } catch (error) {
        if (!isObjectStoreError(error)) throw error;
        waitMs = retryMs * jitter();
        this.options.logger.info('hosts_unlisted', {failure: error.failure});
      }
    }
  }

  private async register(): Promise<void> {
    const {store, kind, host, address} = this.options;
    const key = `${kind.prefix}${host}`;
    const value = JSON.stringify({address});
    const result = await store.put(key, value, {kind: 'absent'});
    if (result.status === 'written') return;
    // A restarted host finds the entry of its earlier run.
    await store.put(key, value, {kind: 'any'});
  }

  private async list(): Promise<void> {
    const {store, kind, address, logger} = this.options;
    const found: string[] = [];
    let after: string | undefined;
    do {
      const page = await store.list(kind.prefix, after, {isStaleAllowed: true});
      for (const {key, value} of page.objects) {
        const json = parseJsonObject(value);
        const name = key.slice(kind.prefix.length);
        const entry = json && kind.decode(name, json);
        if (entry && entry.address !== address) found.push(entry.address);
      }
      after = page.nextAfter;
    } while (after !== undefined);
    const isChanged = found.join() !== this.others.join();
    this.others = found;
    this.isRegistered = true;
    if (isChanged) logger.info('hosts_listed', {others: found.length});
  }
}
