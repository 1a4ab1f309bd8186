import type {ObjectStore, StoredObject, WatchEvent} from '@anvilrudder/core';
import {
  createObjectStoreError,
  isObjectStoreError,
  type ObjectStoreFailureError,
} from '../errors/object_store_error.js';
import {
  computeBackoffMs,
  type BackoffOptions,
  type RandomSource,
} from '../utils/backoff.js';
import {delay} from '../utils/delay.js';

/** What a watch reports; no call is made once the signal is aborted. */
export interface WatchHandlers {
  /** All objects below the prefix, at the start and after a gap. */
  onSnapshot(objects: readonly StoredObject[]): void;
  /** One change, in the order of versions. */
  onEvent(event: WatchEvent): void;
  /** A call failed; the watch goes on after a backoff. */
  onError?(error: ObjectStoreFailureError): void;
  /** A call succeeded after one or more had failed. */
  onRecovered?(): void;
}

/** How a watch waits and ends. */
export interface WatchOptions {
  /** Ends the watch. */
  readonly signal: AbortSignal;
  readonly random: RandomSource;
  /** Time that one call waits for a change at most. Default 30000. */
  readonly readWaitMs?: () => number;
  /** Lets others start the watch anew. */
  readonly restarter?: WatchRestarter;
  /** Default between 0 and 100, 200, … 10000 milliseconds. */
  readonly backoff?: BackoffOptions;
  /**
   * Pause behind a call that brought changes, so that changes in quick
   * succession come with one call. Default 0.
   */
  readonly batchDelayMs?: number;
}

const DEFAULT_WAIT_MS = 30_000;
/**
 * First wait after a failure; it doubles with each call that succeeds. A watch
 * that began while the store was unsound may hear nothing until it ends.
 */
const FIRST_WAIT_MS = 500;
const DEFAULT_BACKOFF: BackoffOptions = {baseMs: 100, maxMs: 10_000};

interface Snapshot {
  readonly objects: readonly StoredObject[];
  readonly storeVersion: number;
}

/**
 * Starts a watch anew: the call that waits is dropped, and the objects are
 * listed. Its connection may have gone silent without a sign.
 */
export class WatchRestarter {
  private call: AbortController | undefined;
  private isWanted = false;

  private constructor() {}

  /**
   * @example
   * ```ts
   * const restarter = WatchRestarter.create();
   * void watchObjects(store, 'rules/', handlers, {...options, restarter});
   * restarter.restart();
   * ```
   */
  static create(): WatchRestarter {
    return new WatchRestarter();
  }

  /** Does nothing while no call waits. */
  restart(): void {
    if (this.call === undefined) return;
    this.isWanted = true;
    this.call.abort();
  }

  /** Makes a call that {@link restart} can drop. */
  async run<T>(
    signal: AbortSignal,
    call: (signal: AbortSignal) => Promise<T>,
  ): Promise<T> {
    const controller = new AbortController();
    const abort = (): void => controller.abort();
    signal.addEventListener('abort', abort, {once: true});
    this.call = controller;
    try {
      return await call(controller.signal);
    } finally {
      this.call = undefined;
      signal.removeEventListener('abort', abort);
    }
  }

  /** True once for each restarter. */
  takeWanted(): boolean {
    const {isWanted} = this;
    this.isWanted = false;
    return isWanted;
  }
}

/** The place of one watch in the changes of the store. */
class ObjectWatch {
  private isSynced = false;
  private version = 0;
  private waitMs = Infinity;
  private readonly restarter: WatchRestarter;

  constructor(
    private readonly store: ObjectStore,
    private readonly prefix: string,
    private readonly handlers: WatchHandlers,
    private readonly options: WatchOptions,
  ) {
    this.restarter = options.restarter ?? WatchRestarter.create();
  }

  async run(): Promise<void> {
    const {signal, random} = this.options;
    const backoff = this.options.backoff ?? DEFAULT_BACKOFF;
    let failures = 0;
    while (!signal.aborted) {
      try {
        await this.step();
        if (failures > 0) this.handlers.onRecovered?.();
        failures = 0;
      } catch (error) {
        if (!isObjectStoreError(error)) throw error;
        if (signal.aborted) return;
        if (this.restarter.takeWanted()) {
          this.isSynced = false;
          continue;
        }
        this.handleError(error);
        await delay(computeBackoffMs(failures, backoff, random), signal);
        failures += 1;
      }
    }
  }

  private async step(): Promise<void> {
    const {signal, batchDelayMs: gatherMs = 0} = this.options;
    if (!this.isSynced) await this.synchronize();
    if (signal.aborted) return;
    const longestMs = this.readLongestWaitMs();
    const waitMs = Math.min(longestMs, this.waitMs);
    const page = await this.restarter.run(signal, callSignal =>
      this.store.watch(this.prefix, this.version, waitMs, callSignal),
    );
    this.restarter.takeWanted();
    this.waitMs = Math.min(longestMs, 2 * waitMs);
    const since = this.version;
    for (const event of page.events) {
      if (signal.aborted) return;
      if (event.version <= since) continue;
      this.version = Math.max(this.version, event.version);
      this.handlers.onEvent(event);
    }
    this.version = Math.max(this.version, page.storeVersion);
    if (page.events.length > 0 && gatherMs > 0) await delay(gatherMs, signal);
  }

  private async synchronize(): Promise<void> {
    const snapshot = await readSnapshot(this.store, this.prefix);
    // A read may come from a replica behind the changes already reported.
    if (snapshot.storeVersion < this.version) {
      throw createObjectStoreError('the list is older than the watch', {
        execution: 'notRun',
        failure: 'stale',
      });
    }
    if (this.options.signal.aborted) return;
    this.version = snapshot.storeVersion;
    this.isSynced = true;
    this.handlers.onSnapshot(snapshot.objects);
  }

  // A watch that went on from its old place may hear nothing of what happened
  // while it was away, so every failure leads to a new list.
  private handleError(error: ObjectStoreFailureError): void {
    this.isSynced = false;
    this.waitMs = FIRST_WAIT_MS;
    this.handlers.onError?.(error);
  }

  private readLongestWaitMs(): number {
    return Math.round(this.options.readWaitMs?.() ?? DEFAULT_WAIT_MS);
  }
}

/** Reads all pages; the version is that of the first one, read earliest. */
async function readSnapshot(
  store: ObjectStore,
  prefix: string,
): Promise<Snapshot> {
  const first = await store.list(prefix);
  const objects = [...first.objects];
  let after = first.nextAfter;
  while (after !== undefined) {
    const page = await store.list(prefix, after);
    objects.push(...page.objects);
    after = page.nextAfter;
  }
  return {objects, storeVersion: first.storeVersion};
}

/**
 * Watches the objects below a prefix until the signal is aborted. Failures are
 * followed by a jittered backoff, after which the objects are listed anew and
 * waits begin short. The promise rejects with what a handler throws. What is
 * reported never goes back to an earlier version. Objects of later pages of a
 * snapshot may be reported again as events.
 *
 * @example
 * ```ts
 * await watchObjects(store, 'rules/', handlers, {signal, random: Math.random});
 * ```
 */
export function watchObjects(
  store: ObjectStore,
  prefix: string,
  handlers: WatchHandlers,
  options: WatchOptions,
): Promise<void> {
  return new ObjectWatch(store, prefix, handlers, options).run();
}

/** What a watch of one object reports. */
export interface WatchKeyHandlers {
  /** The object, or undefined while it does not exist. */
  onValue(object: StoredObject | undefined): void;
  onError?(error: ObjectStoreFailureError): void;
}

/**
 * Watches one object until the signal is aborted, as {@link watchObjects}.
 *
 * @example
 * ```ts
 * await watchKey(store, 'rules/head', {onValue: use}, {
 *   signal,
 *   random: Math.random,
 * });
 * ```
 */
export function watchKey(
  store: ObjectStore,
  key: string,
  handlers: WatchKeyHandlers,
  options: WatchOptions,
): Promise<void> {
  return watchObjects(
    store,
    key,
    {
      onSnapshot: objects =>
        handlers.onValue(objects.find(object => object.key === key)),
      onEvent: ({key: changed, version, value}) => {
        if (changed !== key) return;
        handlers.onValue(
          value === undefined ? undefined : {key, version, value},
        );
      },
      onError: error => handlers.onError?.(error),
    },
    options,
  );
}
