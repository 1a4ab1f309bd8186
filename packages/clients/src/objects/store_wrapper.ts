import type {ObjectStore} from '@anvilrudder/core';

/** A method of the object API. */
export type ObjectStoreMethod = Exclude<keyof ObjectStore, 'era'>;

/** Wraps one call of a method; it may run `call` any number of times. */
export type CallWrapper = <T>(
  method: ObjectStoreMethod,
  call: () => Promise<T>,
  signal?: AbortSignal,
) => Promise<T>;

/**
 * Returns an object store that passes every call through a wrapper.
 *
 * @example
 * ```ts
 * const logged = wrapObjectStore(store, (method, call) => {
 *   log(method);
 *   return call();
 * });
 * ```
 */
export function wrapObjectStore(
  store: ObjectStore,
  wrap: CallWrapper,
): ObjectStore {
  return {
    era: store.era,
    get: key => wrap('get', () => store.get(key)),
    put: (key, value, condition) =>
      wrap('put', () => store.put(key, value, condition)),
    delete: (key, condition) =>
      wrap('delete', () => store.delete(key, condition)),
    list: (prefix, after) => wrap('list', () => store.list(prefix, after)),
    watch: (prefix, afterVersion, timeoutMs, signal) =>
      wrap(
        'watch',
        () => store.watch(prefix, afterVersion, timeoutMs, signal),
        signal,
      ),
  };
}
