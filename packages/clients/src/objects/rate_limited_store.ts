import type {ObjectStore} from '@anvilrudder/core';
import {createObjectStoreError} from '../errors/object_store_error.js';
import {delay} from '../utils/delay.js';
import {TokenBucket} from '../utils/token_bucket.js';
import {wrapObjectStore} from './store_wrapper.js';

/** Rate limit of the calls that this process sends to the object API. */
export interface CallRateLimitOptions {
  /** Calls per second; a watch call counts as one. Default 50. */
  readonly callsPerS?: number;
  /** Maximum number of calls sent without delay. Default 50. */
  readonly burst?: number;
  /**
   * Maximum wait in milliseconds; a call that would wait longer fails. Default
   * 1000.
   */
  readonly maxWaitMs?: number;
}

const DEFAULT_CALLS_PER_S = 50;
const DEFAULT_BURST = 50;
const DEFAULT_MAX_WAIT_MS = 1000;

/**
 * Limits the call rate of an object store. A call that would have to wait
 * longer than `maxWaitMs` is not sent and fails with the failure `budget`.
 *
 * @example
 * ```ts
 * const store = createRateLimitedStore(httpStore, {callsPerS: 20, burst: 40});
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
      throw createObjectStoreError('call rate limit exceeded', {
        execution: 'notRun',
        failure: 'budget',
      });
    }
    if (waitMs > 0) await delay(waitMs, signal);
    return call();
  });
}
