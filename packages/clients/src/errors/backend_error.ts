import {BaseError, type Execution} from '@anvilrudder/core';
import {
  isTransportError,
  type RequestPhase,
  type TransportFailure,
} from './transport_error.js';

/**
 * Phase of the request, or `refused` if the server states that it did not run
 * the request.
 */
export type BackendPhase = RequestPhase | 'refused';

/** Why no complete response was received from a backend server. */
export type BackendFailure =
  TransportFailure | 'refused' | 'badAnswer' | 'incomplete' | 'failed';

/** Options of {@link createBackendError}. */
export interface BackendErrorOptions {
  readonly phase: BackendPhase;
  readonly failure: BackendFailure;
  /** Error code in the response of the backend server. */
  readonly code?: string;
  /** HTTP status of the response, if one was received. */
  readonly status?: number;
  /** Delay in milliseconds that the backend server requests before a retry. */
  readonly retryAfterMs?: number;
  /** Tokens received in order, including those before a resumption. */
  readonly tokenCount?: number;
  readonly cause?: unknown;
}

/** A call to a backend server for which no complete response was received. */
export interface BackendError extends Error {
  readonly phase: BackendPhase;
  readonly failure: BackendFailure;
  readonly execution: Execution;
  readonly code: string | undefined;
  readonly status: number | undefined;
  readonly retryAfterMs: number | undefined;
  readonly tokenCount: number;
}

const EXECUTION_BY_PHASE: Readonly<Record<BackendPhase, Execution>> = {
  beforeFirstByte: 'notRun',
  refused: 'notRun',
  sent: 'unknown',
  streaming: 'unknown',
};

const BackendErrorClass = BaseError.subclass('BackendError');

/**
 * Creates the error of a failed call to a backend server. `execution` is
 * derived from the phase, except that the failure `failed` means that the
 * server ran the call.
 *
 * @example
 * ```ts
 * createBackendError({phase: 'sent', failure: 'cut'}).execution; // 'unknown'
 * ```
 */
export function createBackendError(options: BackendErrorOptions): BackendError {
  const {phase, failure, code, status, retryAfterMs, cause} = options;
  const execution = failure === 'failed' ? 'ran' : EXECUTION_BY_PHASE[phase];
  const tokenCount = options.tokenCount ?? 0;
  const detail = code === undefined ? phase : `${phase}, ${code}`;
  return new BackendErrorClass(`${failure} (${detail})`, {
    cause,
    props: {phase, failure, execution, code, status, retryAfterMs, tokenCount},
  });
}

/** Returns true for errors created by {@link createBackendError}. */
export function isBackendError(error: unknown): error is BackendError {
  return error instanceof BackendErrorClass;
}

/** Converts a transport error to a backend error; returns others unchanged. */
export function toBackendError(error: unknown, tokenCount = 0): unknown {
  if (!isTransportError(error)) return error;
  const {phase, failure} = error;
  return createBackendError({phase, failure, tokenCount, cause: error});
}
