import type {Execution} from '../errors/error_codes.js';

/** One object as read from the object API. */
export interface StoredObject {
  readonly key: string;
  /** Grows with every write to any object of the store. */
  readonly version: number;
  readonly value: string;
}

/** What must hold for a write to take effect. */
export type WriteCondition =
  | {readonly kind: 'absent'}
  | {readonly kind: 'version'; readonly version: number}
  | {readonly kind: 'any'};

/** Outcome of a write that was answered. */
export type WriteResult =
  | {readonly status: 'written'; readonly version: number}
  | {readonly status: 'conflict'; readonly current: StoredObject | undefined};

/** One change seen by a watch; `value` is undefined for a deletion. */
export interface WatchEvent {
  readonly key: string;
  readonly version: number;
  readonly value: string | undefined;
}

/** Objects below a prefix, in key order, and the version of the store. */
export interface ObjectPage {
  readonly objects: readonly StoredObject[];
  readonly storeVersion: number;
  /** Pass as `after` to read on; undefined on the last page. */
  readonly nextAfter: string | undefined;
}

/** Changes after a version, and the version to go on from. */
export interface WatchPage {
  readonly events: readonly WatchEvent[];
  readonly storeVersion: number;
}

/** How a list is read. */
export interface ListOptions {
  /** The list may be seconds old, and costs the store less. */
  readonly isStaleAllowed?: boolean;
}

/**
 * The platform's object API. Every method is one counted call. A method
 * rejects with an {@link ObjectStoreError} when no answer came; its
 * `execution` says whether a write may have taken effect.
 */
export interface ObjectStore {
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
  /** Waits up to `timeoutMs` for changes below a prefix. */
  watch(
    prefix: string,
    afterVersion: number,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<WatchPage>;
}

/** The object API gave no usable answer. */
export interface ObjectStoreError extends Error {
  readonly execution: Execution;
}
