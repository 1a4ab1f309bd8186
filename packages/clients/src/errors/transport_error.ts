import {BaseError} from '@anvilrudder/core';

/**
 * How far a request got. `beforeFirstByte`: no byte was written to a socket,
 * nor will be; `sent`: writing began; `streaming`: the head of the answer
 * arrived.
 */
export type RequestPhase = 'beforeFirstByte' | 'sent' | 'streaming';

/** Why a request ended without a whole answer. */
export type TransportFailure =
  'connect' | 'timeout' | 'aborted' | 'withheld' | 'cut' | 'tooLarge';

const TransportErrorClass = BaseError.subclass('TransportError');

/** A request that ended without a whole answer. */
export interface TransportError extends Error {
  readonly phase: RequestPhase;
  readonly failure: TransportFailure;
}

/**
 * Creates the error of a request that ended without a whole answer.
 *
 * @example
 * ```ts
 * throw createTransportError('sent', 'timeout');
 * ```
 */
export function createTransportError(
  phase: RequestPhase,
  failure: TransportFailure,
  cause?: unknown,
): TransportError {
  return new TransportErrorClass(`${failure} (${phase})`, {
    cause,
    props: {phase, failure},
  });
}

/** True for errors made by {@link createTransportError}. */
export function isTransportError(error: unknown): error is TransportError {
  return error instanceof TransportErrorClass;
}
