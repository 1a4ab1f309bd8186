import {
  parseJsonObject,
  watchObjects,
  WatchRenewal,
  type JsonObject,
} from '@anvilrudder/clients';
import type {ObjectStore, StoredObject} from '@anvilrudder/core';
import type {Logger, MetricRegistry} from '@anvilrudder/observability';
import type {StoreVersionTracker} from './store_version_tracker.js';

/** One kind of object, decoded. */
export interface DecodedObject<T> {
  /** Part of the key behind the prefix. */
  readonly name: string;
  /** Revision of the last change. */
  readonly version: number;
  /** Undefined for an object that could not be decoded. */
  readonly value: T | undefined;
}

/** What is done with the objects of one kind. */
export interface KindHandlers<T> {
  onAll(objects: readonly DecodedObject<T>[]): void;
  onPut(object: DecodedObject<T>): void;
  onRemoved(name: string): void;
  onLost?(): void;
  onRegained?(): void;
}

/** Where the objects of one kind are, and how they are read. */
export interface WatchedKind<T> {
  /** Ends with a slash. */
  readonly prefix: string;
  readonly decode: (name: string, value: JsonObject) => T | undefined;
}

/** What a watch of a kind needs. */
export interface WatchKindOptions {
  readonly store: ObjectStore;
  readonly logger: Logger;
  readonly metrics: MetricRegistry;
  readonly signal: AbortSignal;
  readonly random: () => number;
  /** What the other hosts have seen in the store. */
  readonly versionTracker: StoreVersionTracker;
  /** Longest time that a watch waits. */
  readonly readWaitMs: () => number;
  /** Changes within this time of an earlier one come together; 0. */
  readonly gatherMs?: number;
}

/**
 * Follows all objects of a kind until the signal is aborted. Losing and
 * regaining the store is logged once each.
 *
 * @example
 * ```ts
 * await watchKind({prefix: 'servers/', decode}, handlers, options);
 * ```
 */
export function watchKind<T>(
  kind: WatchedKind<T>,
  handlers: KindHandlers<T>,
  options: WatchKindOptions,
): Promise<void> {
  const {store, logger, metrics, signal, random, gatherMs} = options;
  const {versionTracker, readWaitMs} = options;
  const renewal = WatchRenewal.create();
  versionTracker.follow(kind.prefix, () => renewal.renew());
  let lostMs: number | undefined;
  const read = (object: StoredObject): DecodedObject<T> => {
    const name = object.key.slice(kind.prefix.length);
    const json = parseJsonObject(object.value);
    const value = json && kind.decode(name, json);
    if (value === undefined) {
      metrics.count('unreadable_objects_total', {kind: kind.prefix});
      logger.warn('object_unreadable', {
        key: object.key,
        version: object.version,
      });
    }
    return {name, version: object.version, value};
  };
  return watchObjects(
    store,
    kind.prefix,
    {
      onSnapshot: objects => {
        handlers.onAll(objects.map(read));
        for (const {version} of objects)
          versionTracker.noteSeen(kind.prefix, version);
      },
      onEvent: ({key, version, value}) => {
        if (value === undefined) {
          handlers.onRemoved(key.slice(kind.prefix.length));
          return;
        }
        handlers.onPut(read({key, version, value}));
        versionTracker.noteSeen(kind.prefix, version);
      },
      onError: error => {
        metrics.count('store_failures_total', {failure: error.failure});
        logger.info('store_call_failed', {
          kind: kind.prefix,
          failure: error.failure,
          message: error.message,
        });
        handlers.onLost?.();
        if (lostMs !== undefined) return;
        lostMs = performance.now();
        logger.warn('store_lost', {kind: kind.prefix, failure: error.failure});
      },
      onRecovered: () => {
        handlers.onRegained?.();
        if (lostMs === undefined) return;
        const awayMs = Math.round(performance.now() - lostMs);
        lostMs = undefined;
        logger.info('store_regained', {kind: kind.prefix, awayMs});
      },
    },
    {
      signal,
      random,
      gatherMs,
      readWaitMs,
      renewal,
      backoff: WATCH_BACKOFF,
    },
  );
}

const WATCH_BACKOFF = {baseMs: 100, maxMs: 1000} as const;
