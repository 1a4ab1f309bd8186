import {
  parseJsonObject,
  watchObjects,
  WatchRestarter,
  type JsonObject,
} from '@anvilrudder/clients';
import type {ObjectStore, StoredObject} from '@anvilrudder/core';
import type {Logger, MetricRegistry} from '@anvilrudder/observability';
import type {StoreVersionTracker} from './store_version_tracker.js';

/** A decoded object of the store. */
export interface DecodedObject<T> {
  /** Key without the prefix of the kind. */
  readonly name: string;
  /** Store version of its last change. */
  readonly version: number;
  /** Undefined if the object could not be decoded. */
  readonly value: T | undefined;
}

/** Handlers for changes to the objects of one kind. */
export interface KindHandlers<T> {
  onAll(objects: readonly DecodedObject<T>[]): void;
  onPut(object: DecodedObject<T>): void;
  onRemoved(name: string): void;
  onUnavailable?(): void;
  onRecovered?(): void;
}

/** Location and decoder of the objects of one kind. */
export interface WatchedKind<T> {
  /** Ends with a slash. */
  readonly prefix: string;
  readonly decode: (name: string, value: JsonObject) => T | undefined;
}

/** Dependencies and timing of {@link watchKind}. */
export interface WatchKindOptions {
  readonly store: ObjectStore;
  readonly logger: Logger;
  readonly metrics: MetricRegistry;
  readonly signal: AbortSignal;
  readonly random: () => number;
  /** Tracks which store versions the other hosts have seen. */
  readonly versionTracker: StoreVersionTracker;
  /** Returns the maximum wait of one watch call. */
  readonly readWaitMs: () => number;
  /** Time for which changes are batched after an earlier one. Default 0. */
  readonly batchDelayMs?: number;
}

/**
 * Watches all objects of a kind until the signal is aborted. An outage of the
 * store is logged once when it begins and once when it ends.
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
  const {store, logger, metrics, signal, random, batchDelayMs} = options;
  const {versionTracker, readWaitMs} = options;
  const restarter = WatchRestarter.create();
  versionTracker.register(kind.prefix, restarter);
  const unreadable = new Map<string, number>();
  let unavailableSinceMs: number | undefined;
  const decodeObject = (object: StoredObject): DecodedObject<T> => {
    const name = object.key.slice(kind.prefix.length);
    const json = parseJsonObject(object.value);
    const value = json && kind.decode(name, json);
    if (value !== undefined) unreadable.delete(name);
    else if (unreadable.get(name) !== object.version) {
      // Lists bring the same version of an object again and again.
      unreadable.set(name, object.version);
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
        const listed = new Set(objects.map(({key}) => key));
        for (const name of unreadable.keys())
          if (!listed.has(kind.prefix + name)) unreadable.delete(name);
        handlers.onAll(objects.map(decodeObject));
      },
      onEvent: ({key, version, value}) => {
        if (value === undefined) {
          const name = key.slice(kind.prefix.length);
          unreadable.delete(name);
          handlers.onRemoved(name);
          return;
        }
        handlers.onPut(decodeObject({key, version, value}));
      },
      onProgress: progress =>
        versionTracker.recordProgress(kind.prefix, progress),
      onError: error => {
        metrics.count('store_failures_total', {failure: error.failure});
        logger.info('store_call_failed', {
          kind: kind.prefix,
          failure: error.failure,
          message: error.message,
        });
        handlers.onUnavailable?.();
        if (unavailableSinceMs !== undefined) return;
        unavailableSinceMs = performance.now();
        logger.warn('store_lost', {kind: kind.prefix, failure: error.failure});
      },
      onRecovered: () => {
        handlers.onRecovered?.();
        if (unavailableSinceMs === undefined) return;
        const awayMs = Math.round(performance.now() - unavailableSinceMs);
        unavailableSinceMs = undefined;
        logger.info('store_regained', {kind: kind.prefix, awayMs});
      },
    },
    {
      signal,
      random,
      batchDelayMs,
      readWaitMs,
      restarter,
      backoff: WATCH_BACKOFF,
    },
  );
}

const WATCH_BACKOFF = {baseMs: 100, maxMs: 1000} as const;
