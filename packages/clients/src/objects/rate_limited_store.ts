import type {ObjectStore} from '@anvilrudder/core';
import {createObjectStoreError} from '../errors/object_store_error.js';
import {delay} from '../utils/delay.js';
import {TokenBucket} from '../utils/token_bucket.js';
import {wrapObjectStore} from './store_wrapper.js';

/** Calls that this process may send to the object API. */
export interface CallRateLimitOptions {
  /** Calls a second; a waiting watch counts as one. Default 50. */
  readonly callsPerS?: number;
  /** Calls that may go out at once. Default 50. */
  readonly burst?: number;
  /** Longest wait for the budget; a longer one fails the call. Default 1000. */
  readonly maxWaitMs?: number;
}

const DEFAULT_CALLS_PER_S = 50;
const DEFAULT_BURST = 50;
const DEFAULT_MAX_WAIT_MS = 1000;

/**
 * Holds the calls of an object store to a rate. A call that would wait too
 * long for its turn fails as `budget`, not run.
 *
 * @example
 * ```ts
 * const store = createBudgetedStore(httpStore, {callsPerS: 20, burst: 40});
 * ```
 */
export function createRateLimitedStore(
  inner: ObjectStore,
  options: CallRateLimitOptions = {},
): ObjectStore {
  const maxWaitMs = options.maxWaitMs ?? DEFAULT_MAX_WAIT_MS;
  const bucket = TokenBucket.create(
    {
      ratePerS: options.callsPerS ?? DEFAULT_CALLS_PER_S,
      burst: options.burst ?? DEFAULT_BURST,
    },
    performance.now(),
  );
  return wrapObjectStore(inner, async (_method, call, signal) => {
    const waitMs = bucket.reserve(performance.now(), maxWaitMs);
    if (waitMs === undefined) {
      throw createObjectStoreError('the call budget is used up', {
        execution: 'notRun',
        failure: 'budget',
      });
    }
    if (waitMs > 0) await delay(waitMs, signal);
    return call();
  });
}
