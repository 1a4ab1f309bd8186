import type {ObjectStore} from '@anvilrudder/core';
import {
  createObjectStoreError,
  isObjectStoreError,
  type ObjectStoreFailure,
} from '../errors/object_store_error.js';
import {
  computeBackoffMs,
  type BackoffOptions,
  type RandomSource,
} from '../utils/backoff.js';
import {
  CircuitBreaker,
  type CircuitBreakerOptions,
} from '../utils/circuit_breaker.js';
import {delay} from '../utils/delay.js';
import {wrapObjectStore, type ObjectStoreMethod} from './store_wrapper.js';

/** Options of {@link createRetryingStore}. */
export interface RetryingStoreOptions {
  readonly random: RandomSource;
  /** Maximum number of attempts for a call. Default 3. */
  readonly maxAttempts?: number;
  /** Default: full jitter with upper bounds of 50, 100, … 1000 milliseconds. */
  readonly backoff?: BackoffOptions;
  /**
   * By default the circuit opens after 5 consecutive failures, for at most 1000
   * milliseconds.
   */
  readonly circuit?: CircuitBreakerOptions;
}

/** Which failed calls of a method may be retried. */
type RetryRule = 'never' | 'ifNotRun' | 'always';

const DEFAULT_MAX_ATTEMPTS = 3;
const DEFAULT_BACKOFF: BackoffOptions = {baseMs: 50, maxMs: 1000};
const DEFAULT_CIRCUIT: CircuitBreakerOptions = {
  failureThreshold: 5,
  maxOpenMs: 1000,
};

const RETRY_RULE_BY_METHOD: Readonly<Record<ObjectStoreMethod, RetryRule>> = {
  get: 'always',
  list: 'always',
  put: 'ifNotRun',
  delete: 'ifNotRun',
  watch: 'never',
};

/** Failures caused by the state of the store rather than by the call itself. */
const HEALTH_FAILURES: readonly ObjectStoreFailure[] = [
  'unavailable',
  'connect',
  'timeout',
  'cut',
  'badAnswer',
];

function isHealthFailure(error: unknown): boolean {
  return isObjectStoreError(error) && HEALTH_FAILURES.includes(error.failure);
}

function mayRetry(method: ObjectStoreMethod, error: unknown): boolean {
  if (!isObjectStoreError(error) || !isHealthFailure(error)) return false;
  const rule = RETRY_RULE_BY_METHOD[method];
  return (
    rule === 'always' || (rule === 'ifNotRun' && error.execution === 'notRun')
  );
}

function createCircuitOpenError(): Error {
  return createObjectStoreError('circuit breaker of the object API is open', {
    execution: 'notRun',
    failure: 'circuitOpen',
  });
}

/**
 * Retries failed reads, and failed writes that took no effect, after a jittered
 * backoff. While the circuit breaker is open, calls fail immediately with the
 * failure `circuitOpen`; one probe call at a time is let through.
 *
 * @example
 * ```ts
 * const store = createRetryingStore(httpStore, {random: Math.random});
 * ```
 */
export function createRetryingStore(
  inner: ObjectStore,
  options: RetryingStoreOptions,
): ObjectStore {
  const {random} = options;
  const maxAttempts = options.maxAttempts ?? DEFAULT_MAX_ATTEMPTS;
  const backoff = options.backoff ?? DEFAULT_BACKOFF;
  const circuit = CircuitBreaker.create(
    options.circuit ?? DEFAULT_CIRCUIT,
    random,
  );
  return wrapObjectStore(inner, async (method, call, signal) => {
    for (let attempt = 0; ; attempt += 1) {
      try {
        return await callThroughCircuit(circuit, call);
      } catch (error) {
        const isLast = attempt + 1 >= maxAttempts;
        if (isLast || !mayRetry(method, error)) throw error;
        await delay(computeBackoffMs(attempt, backoff, random), signal);
      }
    }
  });
}

async function callThroughCircuit<T>(
  circuit: CircuitBreaker,
  call: () => Promise<T>,
): Promise<T> {
  if (!circuit.tryAdmit(performance.now())) throw createCircuitOpenError();
  try {
    const result = await call();
    circuit.recordSuccess();
    return result;
  } catch (error) {
    if (isHealthFailure(error)) circuit.recordFailure(performance.now());
    else circuit.recordUnrelatedFailure();
    throw error;
  }
}
