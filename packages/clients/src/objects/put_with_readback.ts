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

/** A condition under which at most one of several identical writes succeeds. */
export type ExclusiveCondition = Exclude<WriteCondition, {kind: 'any'}>;

/** Options of {@link putWithReadback}. */
export interface ReadbackOptions {
  readonly random: RandomSource;
  /** Maximum number of writes sent. Default 4. */
  readonly maxAttempts?: number;
  /** Default: full jitter with upper bounds of 50, 100, … 1000 milliseconds. */
  readonly backoff?: BackoffOptions;
  readonly signal?: AbortSignal;
}

/** Confirmed outcome of a write. */
export type ReadbackResult =
  | {readonly status: 'written'; readonly version: number}
  | {
      readonly status: 'conflict';
      readonly current: StoredObject | undefined;
      /**
       * True when the write may have taken effect and may since have been
       * overwritten.
       */
      readonly mayHaveTakenEffect: boolean;
    };

const DEFAULT_MAX_ATTEMPTS = 4;
const DEFAULT_BACKOFF: BackoffOptions = {baseMs: 50, maxMs: 1000};

/**
 * Writes an object with retries. When a response is lost, it reads the object
 * to find out whether the write took effect. Retries are safe because the
 * condition allows at most one of the identical writes to take effect.
 *
 * @param isOwnWrite returns true if the object was written by this call. The
 *   value needs a part that no other write has, such as the incarnation of the
 *   writer and a sequence number.
 * @throws ObjectStoreError when the write could not be confirmed; `execution`
 *   is `notRun` only if none of the attempts can have taken effect.
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
  return createObjectStoreError('the write could not be confirmed', {
    execution: mayHaveTakenEffect ? 'unknown' : 'notRun',
    failure: lastError.failure,
    cause: lastError,
  });
}
