import {BaseError} from '@anvilrudder/core';

/**
 * Progress of a request. `beforeFirstByte`: no byte was or will be written to a
 * socket; `sent`: writing started; `streaming`: the response headers were
 * received.
 */
export type RequestPhase = 'beforeFirstByte' | 'sent' | 'streaming';

/**
 * Why a request ended without a complete response. `unproven`: only the end of the
 * connection marks that of the response, and nothing shows that it wasn't a reset.
 */
export type TransportFailure =
  | 'connect'
  | 'timeout'
  | 'aborted'
  | 'withheld'
  | 'cut'
  | 'unproven'
  | 'tooLarge'
  | 'malformed';

const TransportErrorClass = BaseError.subclass('TransportError');

/** A request that ended without a complete response. */
export interface TransportError extends Error {
  readonly phase: RequestPhase;
  readonly failure: TransportFailure;
}

/**
 * Creates the error of a request that ended without a complete response.
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

/** Returns true for errors created by {@link createTransportError}. */
export function isTransportError(error: unknown): error is TransportError {
  return error instanceof TransportErrorClass;
}
