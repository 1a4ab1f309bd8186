import type {Execution} from '../errors/error_codes.js';
import type {StoreEra} from './store_era.js';

/** An object read from the object API. */
export interface StoredObject {
  readonly key: string;
  /**
   * Store version of the last write to this object. The store version increases
   * with every write to any object.
   */
  readonly version: number;
  readonly value: string;
}

/** Precondition of a write. */
export type WriteCondition =
  | {readonly kind: 'absent'}
  | {readonly kind: 'version'; readonly version: number}
  | {readonly kind: 'any'};

/** Outcome of a write to which the object API responded. */
export type WriteResult =
  | {readonly status: 'written'; readonly version: number}
  | {readonly status: 'conflict'; readonly current: StoredObject | undefined};

/** A change reported by a watch; `value` is undefined for a deletion. */
export interface WatchEvent {
  readonly key: string;
  readonly version: number;
  readonly value: string | undefined;
}

/** A page of the objects with a key prefix, in key order. */
export interface ObjectPage {
  readonly objects: readonly StoredObject[];
  readonly storeVersion: number;
  /** Passed as `after` to read the next page; undefined on the last page. */
  readonly nextAfter: string | undefined;
}

/** Changes since a store version. */
export interface WatchPage {
  readonly events: readonly WatchEvent[];
  /** Passed as `afterVersion` to the next watch call. */
  readonly storeVersion: number;
}

/** Options of {@link ObjectStore.list}. */
export interface ListOptions {
  /**
   * Allows a result that is some seconds old, which is cheaper for the store.
   */
  readonly isStaleAllowed?: boolean;
  /** Timeout in milliseconds; that of the store by default. */
  readonly timeoutMs?: number;
}

/**
 * The platform's object API. Each method call counts as one API call. A method
 * rejects with an {@link ObjectStoreError} when no response was received; the
 * `execution` of the error tells whether a write may have taken effect.
 */
export interface ObjectStore {
  /** Undefined for a store that never loses an acknowledged write. */
  readonly era?: StoreEra;
  get(key: string): Promise<StoredObject | undefined>;
  put(
    key: string,
    value: string,
    condition: WriteCondition,
  ): Promise<WriteResult>;
  delete(key: string, condition: WriteCondition): Promise<WriteResult>;
  list(
    prefix: string,
    after?: string,
    options?: ListOptions,
  ): Promise<ObjectPage>;
  /**
   * Waits up to `timeoutMs` milliseconds for changes after `afterVersion` to
   * objects with a key prefix.
   */
  watch(
    prefix: string,
    afterVersion: number,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<WatchPage>;
}

/** The object API gave no usable response. */
export interface ObjectStoreError extends Error {
  readonly execution: Execution;
}
