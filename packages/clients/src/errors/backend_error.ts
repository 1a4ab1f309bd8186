import {BaseError, type Execution} from '@anvilrudder/core';
import {
  isTransportError,
  type RequestPhase,
  type TransportFailure,
} from './transport_error.js';

/** A request's phase, or `refused`: the server itself says it ran nothing. */
export type BackendPhase = RequestPhase | 'refused';

/** Why a backend server gave no whole answer. */
export type BackendFailure =
  TransportFailure | 'refused' | 'badAnswer' | 'incomplete' | 'failed';

/** Where a call of a backend server failed, and how. */
export interface BackendErrorOptions {
  readonly phase: BackendPhase;
  readonly failure: BackendFailure;
  /** The code given by the backend server. */
  readonly code?: string;
  /** Status of the answer, where one came. */
  readonly status?: number;
  /** When the backend server asks to come back, in milliseconds. */
  readonly retryAfterMs?: number;
  /** Tokens received in order, those before a resume included. */
  readonly tokenCount?: number;
  readonly cause?: unknown;
}

/** A call of a backend server that gave no whole answer. */
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
 * Creates the error of a backend server's call; `execution` follows from the
 * phase, and from `failed`, by which the server says that the call ran.
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

/** True for errors made by {@link createBackendError}. */
export function isBackendError(error: unknown): error is BackendError {
  return error instanceof BackendErrorClass;
}

/** Turns a transport error into a backend error; others pass unchanged. */
export function toBackendError(error: unknown, tokenCount = 0): unknown {
  if (!isTransportError(error)) return error;
  const {phase, failure} = error;
  return createBackendError({phase, failure, tokenCount, cause: error});
}
