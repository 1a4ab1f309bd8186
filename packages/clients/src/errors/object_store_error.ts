import {
  BaseError,
  type Execution,
  type ObjectStoreError,
} from '@anvilrudder/core';

/** Why no usable response was received from the object API. */
export type ObjectStoreFailure =
  | 'unavailable'
  | 'connect'
  | 'timeout'
  | 'cut'
  | 'aborted'
  | 'historyGone'
  | 'tooLarge'
  | 'badAnswer'
  | 'stale'
  | 'budget'
  | 'circuitOpen';

/** Options of {@link createObjectStoreError}. */
export interface ObjectStoreErrorOptions {
  /** Whether a write by this call may have taken effect. */
  readonly execution: Execution;
  readonly failure: ObjectStoreFailure;
  readonly cause?: unknown;
}

/** An {@link ObjectStoreError} with the cause of the failure. */
export interface ObjectStoreFailureError extends ObjectStoreError {
  readonly failure: ObjectStoreFailure;
}

const ObjectStoreErrorClass = BaseError.subclass('ObjectStoreError');

/**
 * Creates the error of a call to which the object API gave no usable response.
 *
 * @example
 * ```ts
 * throw createObjectStoreError('503', {
 *   execution: 'notRun',
 *   failure: 'unavailable',
 * });
 * ```
 */
export function createObjectStoreError(
  message: string,
  options: ObjectStoreErrorOptions,
): ObjectStoreFailureError {
  const {execution, failure, cause} = options;
  return new ObjectStoreErrorClass(message, {
    cause,
    props: {execution, failure},
  });
}

/** Returns true for errors created by {@link createObjectStoreError}. */
export function isObjectStoreError(
  error: unknown,
): error is ObjectStoreFailureError {
  return error instanceof ObjectStoreErrorClass;
}
