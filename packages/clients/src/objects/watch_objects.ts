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
import {WatchRestarter} from './watch_restarter.js';

/** How far a watch has come in the changes of the store. */
export interface WatchProgress {
  /** All changes up to this store version have been delivered. */
  readonly storeVersion: number;
  /**
   * Store version that a watch must have reached to have delivered the newest
   * of the changes that came now; undefined if none came.
   */
  readonly newestChange: number | undefined;
}

/** Handlers of a watch; none is called after the signal is aborted. */
export interface WatchHandlers {
  /**
   * Receives all objects with the prefix, at the start and after a failure or
   * restart.
   */
  onSnapshot(objects: readonly StoredObject[]): void;
  /** Receives one change; changes come in the order reported by the store. */
  onEvent(event: WatchEvent): void;
  /** Called after the changes of each call have been delivered. */
  onProgress?(progress: WatchProgress): void;
  /** Called when a store call failed; the watch continues after a backoff. */
  onError?(error: ObjectStoreFailureError): void;
  /** Called when a call succeeded after one or more failures. */
  onRecovered?(): void;
}

/** Options of a watch. */
export interface WatchOptions {
  /** Ends the watch. */
  readonly signal: AbortSignal;
  readonly random: RandomSource;
  /**
   * Returns the maximum time in milliseconds that one call waits for a change.
   * Default 30000.
   */
  readonly readWaitMs?: () => number;
  /** Allows other code to restart the watch. */
  readonly restarter?: WatchRestarter;
  /**
   * Default: full jitter with upper bounds of 100, 200, … 10000 milliseconds.
   */
  readonly backoff?: BackoffOptions;
  /**
   * Pause in milliseconds after a call that returned changes, so that the next
   * call returns a batch of changes that follow in quick succession. Default 0.
   */
  readonly batchDelayMs?: number;
}

const DEFAULT_MAX_WAIT_MS = 30_000;
/**
 * Maximum wait of the first watch call after a failure; it doubles with each
 * successful call. A call that began while the store was failing may receive no
 * changes until it ends, so it must not wait long.
 */
const WAIT_AFTER_FAILURE_MS = 500;
/**
 * Maximum random delay before the objects are listed in a new era of the store,
 * so that many watches do not list at the same moment.
 */
const ERA_CHANGE_JITTER_MS = 300;
const DEFAULT_BACKOFF: BackoffOptions = {baseMs: 100, maxMs: 10_000};

interface Snapshot {
  readonly objects: readonly StoredObject[];
  readonly storeVersion: number;
  /** Era of the store in which the objects were read. */
  readonly era: number | undefined;
}

/** State of one watch: the last reported store version and the current wait. */
class ObjectWatch {
  private isSynced = false;
  /** Era of `version`. */
  private era: number | undefined;
  private version = 0;
  private maxNextWaitMs = Infinity;
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
    const stopListening = this.store.era?.onChange(() =>
      this.restarter.restart(),
    );
    try {
      await this.pollUntilAborted();
    } finally {
      stopListening?.();
    }
  }

  private async pollUntilAborted(): Promise<void> {
    const {signal, random} = this.options;
    const backoff = this.options.backoff ?? DEFAULT_BACKOFF;
    let failures = 0;
    while (!signal.aborted) {
      try {
        await this.poll();
        if (failures > 0) this.handlers.onRecovered?.();
        failures = 0;
      } catch (error) {
        if (!isObjectStoreError(error)) throw error;
        if (signal.aborted) return;
        if (this.restarter.takeRestartRequest()) {
          this.isSynced = false;
          continue;
        }
        this.handleError(error);
        await delay(computeBackoffMs(failures, backoff, random), signal);
        failures += 1;
      }
    }
  }

  private async poll(): Promise<void> {
    const {signal, random, batchDelayMs = 0} = this.options;
    if (this.hasEraChanged()) {
      await delay(random() * ERA_CHANGE_JITTER_MS, signal);
      this.isSynced = false;
    }
    if (!this.isSynced) await this.synchronize();
    if (signal.aborted || this.hasEraChanged()) return;
    const maxWaitMs = this.readMaxWaitMs();
    const waitMs = Math.min(maxWaitMs, this.maxNextWaitMs);
    const page = await this.restarter.run(signal, callSignal =>
      this.store.watch(this.prefix, this.version, waitMs, callSignal),
    );
    this.restarter.takeRestartRequest();
    // The events after a version of another era are not all that happened.
    if (this.hasEraChanged()) return;
    this.maxNextWaitMs = Math.min(maxWaitMs, 2 * waitMs);
    const previousVersion = this.version;
    for (const event of page.events) {
      if (signal.aborted) return;
      if (event.version <= previousVersion) continue;
      this.version = Math.max(this.version, event.version);
      this.handlers.onEvent(event);
    }
    this.version = Math.max(this.version, page.storeVersion);
    this.handlers.onProgress?.({
      storeVersion: this.version,
      newestChange: findNewestChange(page.events, previousVersion),
    });
    if (page.events.length > 0 && batchDelayMs > 0)
      await delay(batchDelayMs, signal);
  }

  private async synchronize(): Promise<void> {
    const snapshot = await readSnapshot(this.store, this.prefix);
    // The list may come from a replica that lags behind the reported changes.
    const isSameEra = snapshot.era === this.era;
    if (isSameEra && snapshot.storeVersion < this.version) {
      throw createObjectStoreError(
        'the list is older than the changes already reported',
        {
          execution: 'notRun',
          failure: 'stale',
        },
      );
    }
    if (this.options.signal.aborted) return;
    this.era = snapshot.era;
    this.version = snapshot.storeVersion;
    this.isSynced = true;
    this.handlers.onSnapshot(snapshot.objects);
    const versions = snapshot.objects.map(({version}) => version);
    this.handlers.onProgress?.({
      storeVersion: this.version,
      newestChange: versions.length > 0 ? Math.max(...versions) : undefined,
    });
  }

  // A watch that continues from its last version may not receive the changes
  // made during the failure, so the objects are listed again.
  private handleError(error: ObjectStoreFailureError): void {
    this.isSynced = false;
    this.maxNextWaitMs = WAIT_AFTER_FAILURE_MS;
    this.handlers.onError?.(error);
  }

  /** True if `version` belongs to another era of the store. */
  private hasEraChanged(): boolean {
    return this.version > 0 && this.store.era?.current !== this.era;
  }

  private readMaxWaitMs(): number {
    return Math.round(this.options.readWaitMs?.() ?? DEFAULT_MAX_WAIT_MS);
  }
}

/**
 * Finds the newest of the changes after a store version. The store does not tell
 * the version at which an object was removed; a watch that has delivered the
 * removal has at least come past the version before it.
 *
 * @param removalVersion assumed version of removals.
 * @returns the store version that a watch must have reached to have delivered
 *     it; undefined if nothing has changed.
 */
export function findNewestChange(
  events: readonly WatchEvent[],
  afterVersion: number,
  removalVersion = afterVersion + 1,
): number | undefined {
  const versions = events
    .filter(({version}) => version > afterVersion)
    .map(({value, version}) =>
      value === undefined ? removalVersion : version,
    );
  return versions.length > 0 ? Math.max(...versions) : undefined;
}

/**
 * Reads all pages. The version is that of the first page, so that changes made
 * while later pages are read are reported as events.
 *
 * @throws ObjectStoreError `stale` when the era of the store changes meanwhile.
 */
async function readSnapshot(
  store: ObjectStore,
  prefix: string,
): Promise<Snapshot> {
  const first = await store.list(prefix);
  const era = store.era?.current;
  const objects = [...first.objects];
  let after = first.nextAfter;
  while (after !== undefined) {
    const page = await store.list(prefix, after);
    objects.push(...page.objects);
    after = page.nextAfter;
  }
  if (store.era?.current !== era) {
    throw createObjectStoreError('the era of the store changed in a list', {
      execution: 'notRun',
      failure: 'stale',
    });
  }
  return {objects, storeVersion: first.storeVersion, era};
}

/**
 * Watches the objects with a key prefix until the signal is aborted. After a
 * failure and a jittered backoff, the objects are listed again and the next
 * watch call waits only briefly. A list older than the changes already reported
 * is rejected as `stale`, and events that are not newer are ignored. Objects of
 * later pages of a snapshot may be reported again as events. When the era of the
 * store changes, the objects are listed again, whatever their versions.
 *
 * If a handler throws, the returned promise rejects with that error.
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

/** Handlers of a watch of one object. */
export interface WatchKeyHandlers {
  /** Receives the object, or undefined if it does not exist. */
  onValue(object: StoredObject | undefined): void;
  onError?(error: ObjectStoreFailureError): void;
}

/**
 * Watches one object until the signal is aborted; see {@link watchObjects}.
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
