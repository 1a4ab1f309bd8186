import {
  BaseError,
  type Execution,
  type ObjectStoreError,
} from '@anvilrudder/core';

/** Why the object API gave no usable answer. */
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

/** What the error of a failed call says. */
export interface ObjectStoreErrorOptions {
  /** Whether a write of this call took effect. */
  readonly execution: Execution;
  readonly failure: ObjectStoreFailure;
  readonly cause?: unknown;
}

/** An {@link ObjectStoreError} that also says why. */
export interface ObjectStoreFailureError extends ObjectStoreError {
  readonly failure: ObjectStoreFailure;
}

const ObjectStoreErrorClass = BaseError.subclass('ObjectStoreError');

/**
 * Creates the error of a call that the object API did not answer usably.
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

/** True for errors made by {@link createObjectStoreError}. */
export function isObjectStoreError(
  error: unknown,
): error is ObjectStoreFailureError {
  return error instanceof ObjectStoreErrorClass;
}
