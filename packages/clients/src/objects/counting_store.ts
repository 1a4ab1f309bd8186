import type {ObjectStore} from '@anvilrudder/core';
import {
  isObjectStoreError,
  type ObjectStoreFailure,
} from '../errors/object_store_error.js';
import {wrapObjectStore, type ObjectStoreMethod} from './store_wrapper.js';

/** Numbers of calls and failures since the store was wrapped. */
export interface ObjectStoreCounters {
  readonly calls: Readonly<Record<ObjectStoreMethod, number>>;
  readonly failures: Readonly<Partial<Record<ObjectStoreFailure, number>>>;
}

/** An object store and the counters of its calls. */
export interface CountingStore {
  readonly store: ObjectStore;
  counters(): ObjectStoreCounters;
}

/**
 * Wraps an object store and counts its calls by method and its failures by
 * cause. A watch call counts as one call.
 *
 * @example
 * ```ts
 * const {store, counters} = createCountingStore(httpStore);
 * await store.get('a');
 * counters().calls.get; // 1
 * ```
 */
export function createCountingStore(inner: ObjectStore): CountingStore {
  const calls = {get: 0, put: 0, delete: 0, list: 0, watch: 0};
  const failures: Partial<Record<ObjectStoreFailure, number>> = {};
  const store = wrapObjectStore(inner, async (method, call) => {
    calls[method] += 1;
    try {
      return await call();
    } catch (error) {
      if (isObjectStoreError(error)) {
        failures[error.failure] = (failures[error.failure] ?? 0) + 1;
      }
      throw error;
    }
  });
  const counters = () => ({calls: {...calls}, failures: {...failures}});
  return {store, counters};
}
