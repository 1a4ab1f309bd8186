import type {ObjectStore, WriteResult} from '@anvilrudder/core';
import {
  createObjectStoreError,
  type ObjectStoreErrorOptions,
} from '../../src/index.js';

/** An object store whose first calls fail as scripted. */
export interface ScriptedStore extends ObjectStore {
  /** Methods called, in order. */
  readonly calls: readonly string[];
}

/**
 * Creates a store whose n-th call fails with the n-th failure. Calls after the
 * last failure succeed.
 */
export function createScriptedStore(
  failures: readonly ObjectStoreErrorOptions[],
): ScriptedStore {
  const calls: string[] = [];
  const respond = <T>(method: string, value: T): Promise<T> => {
    const failure = failures[calls.length];
    calls.push(method);
    return failure === undefined
      ? Promise.resolve(value)
      : Promise.reject(createObjectStoreError('scripted', failure));
  };
  const written: WriteResult = {status: 'written', version: 1};
  const page = {objects: [], storeVersion: 1, nextAfter: undefined};
  return {
    calls,
    get: () => respond('get', undefined),
    put: () => respond('put', written),
    delete: () => respond('delete', written),
    list: () => respond('list', page),
    watch: () => respond('watch', {events: [], storeVersion: 1}),
  };
}
