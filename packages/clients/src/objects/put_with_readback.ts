import type {
  ObjectStore,
  StoredObject,
  WriteCondition,
} from '@anvilrudder/core';
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

/** A condition that at most one of several equal writes can meet. */
export type ExclusiveCondition = Exclude<WriteCondition, {kind: 'any'}>;

/** How long a write is pursued. */
export interface ReadbackOptions {
  readonly random: RandomSource;
  /** Writes sent at most. Default 4. */
  readonly maxAttempts?: number;
  /** Default between 0 and 50, 100, … 1000 milliseconds. */
  readonly backoff?: BackoffOptions;
  readonly signal?: AbortSignal;
}

/** The resolved outcome of a write. */
export type ReadbackResult =
  | {readonly status: 'written'; readonly version: number}
  | {
      readonly status: 'conflict';
      readonly current: StoredObject | undefined;
      /** True when the write may have taken effect and been replaced since. */
      readonly mayHaveTakenEffect: boolean;
    };

const DEFAULT_MAX_ATTEMPTS = 4;
const DEFAULT_BACKOFF: BackoffOptions = {baseMs: 50, maxMs: 1000};

/**
 * Writes an object and resolves lost answers by reading back. Repeating the
 * write is safe, as its condition lets at most one of the copies take effect.
 *
 * @param isOwnWrite tells this write from any other writer's; it needs a part of
 *   the value that no other write has, such as an incarnation and a number.
 * @throws ObjectStoreError when the outcome stays open; `execution` is
 *   `notRun` only when no copy of the write can have taken effect.
 * @example
 * ```ts
 * const result = await putWithReadback(
 *   store,
 *   'claims/k',
 *   value,
 *   {kind: 'absent'},
 *   object => object.value === value,
 *   {random: Math.random},
 * );
 * ```
 */
export async function putWithReadback(
  store: ObjectStore,
  key: string,
  value: string,
  condition: ExclusiveCondition,
  isOwnWrite: (object: StoredObject) => boolean,
  options: ReadbackOptions,
): Promise<ReadbackResult> {
  const maxAttempts = options.maxAttempts ?? DEFAULT_MAX_ATTEMPTS;
  let mayHaveTakenEffect = false;
  for (let attempt = 0; ; attempt += 1) {
    try {
      const result = await store.put(key, value, condition);
      if (result.status === 'written') return result;
      const {current} = result;
      if (mayHaveTakenEffect && current !== undefined && isOwnWrite(current)) {
        return {status: 'written', version: current.version};
      }
      return {status: 'conflict', current, mayHaveTakenEffect};
    } catch (error) {
      if (!isObjectStoreError(error)) throw error;
      mayHaveTakenEffect ||= error.execution !== 'notRun';
      if (error.failure === 'tooLarge') throw error;
      const isLast = attempt + 1 >= maxAttempts || options.signal?.aborted;
      if (!isLast) await backOff(attempt, options);
      const ownWrite = mayHaveTakenEffect
        ? await readOwnWrite(store, key, isOwnWrite)
        : undefined;
      if (ownWrite !== undefined)
        return {status: 'written', version: ownWrite.version};
      if (isLast) throw createUnconfirmedWriteError(error, mayHaveTakenEffect);
    }
  }
}

async function backOff(
  attempt: number,
  options: ReadbackOptions,
): Promise<void> {
  const backoff = options.backoff ?? DEFAULT_BACKOFF;
  const delayMs = computeBackoffMs(attempt, backoff, options.random);
  await delay(delayMs, options.signal);
}

async function readOwnWrite(
  store: ObjectStore,
  key: string,
  isOwnWrite: (object: StoredObject) => boolean,
): Promise<StoredObject | undefined> {
  try {
    const object = await store.get(key);
    return object !== undefined && isOwnWrite(object) ? object : undefined;
  } catch (error) {
    if (!isObjectStoreError(error)) throw error;
    return undefined;
  }
}

function createUnconfirmedWriteError(
  lastError: ObjectStoreFailureError,
  mayHaveTakenEffect: boolean,
): Error {
  return createObjectStoreError('the outcome of the write stays open', {
    execution: mayHaveTakenEffect ? 'unknown' : 'notRun',
    failure: lastError.failure,
    cause: lastError,
  });
}
