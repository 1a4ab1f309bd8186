import ModernError from 'modern-errors';
import {
  ERROR_DEFINITIONS,
  type ErrorCode,
  type Execution,
} from './error_codes.js';

/** Options of {@link RouterError.create}. */
export interface RouterErrorOptions {
  readonly code: ErrorCode;
  /** Overrides the `execution` of the code in {@link ERROR_DEFINITIONS}. */
  readonly execution?: Execution;
  /**
   * Delay in milliseconds after which the caller may retry. Defaults to
   * {@link DEFAULT_RETRY_AFTER_MS} for retryable codes.
   */
  readonly retryAfterMs?: number;
  readonly cause?: unknown;
}

/** Base class of all error classes of this workspace. */
export const BaseError = ModernError.subclass('BaseError');

/** Retry delay of a retryable error that is created without one. */
export const DEFAULT_RETRY_AFTER_MS = 1000;

const RouterErrorClass = BaseError.subclass('RouterError');

/** An error that ends a request with a typed error response. */
export interface RouterError extends Error {
  readonly code: ErrorCode;
  /** The message sent to callers; `message` may also include the cause's. */
  readonly publicMessage: string;
  readonly execution: Execution;
  readonly retryAfterMs: number | undefined;
}

export const RouterError = {
  /**
   * Creates an error that ends a request with a typed error response.
   *
   * @example
   * ```ts
   * throw RouterError.create('No rule allows it.', {code: 'not_allowed'});
   * ```
   */
  create(message: string, options: RouterErrorOptions): RouterError {
    const {code, execution, retryAfterMs, cause} = options;
    return new RouterErrorClass(message, {
      cause,
      props: {
        code,
        publicMessage: message,
        execution: execution ?? ERROR_DEFINITIONS[code].execution,
        retryAfterMs: retryAfterMs ?? resolveRetryAfterMs(code),
      },
    });
  },
};

// Every retryable error carries a retry delay.
function resolveRetryAfterMs(code: ErrorCode): number | undefined {
  return ERROR_DEFINITIONS[code].isRetryable
    ? DEFAULT_RETRY_AFTER_MS
    : undefined;
}

/**
 * Returns true for errors created by {@link RouterError.create}.
 *
 * @example
 * ```ts
 * isRouterError(new TypeError('x')); // false
 * ```
 */
export function isRouterError(error: unknown): error is RouterError {
  return error instanceof RouterErrorClass;
}

/** The JSON body of an error response. */
export interface ErrorBody {
  readonly error: {
    readonly code: ErrorCode;
    readonly message: string;
    readonly execution: Execution;
    readonly requestId: string;
    readonly retryAfterMs?: number;
  };
}

/**
 * Converts any thrown value to a RouterError. Unexpected values get the code
 * `internal`; their message is not exposed to callers because it may contain
 * secrets.
 *
 * @example
 * ```ts
 * normalizeError(new TypeError('x')).code; // 'internal'
 * ```
 */
export function normalizeError(error: unknown): RouterError {
  if (isRouterError(error)) return error;
  return RouterError.create('Unexpected fault.', {
    code: 'internal',
    cause: error,
  });
}

/**
 * Builds the JSON body of an error response.
 *
 * @example
 * ```ts
 * createErrorBody(error, 'r-1').error.execution; // 'notRun'
 * ```
 */
export function createErrorBody(
  error: RouterError,
  requestId: string,
): ErrorBody {
  return {
    error: {
      code: error.code,
      message: error.publicMessage,
      execution: error.execution,
      requestId,
      ...(error.retryAfterMs === undefined
        ? {}
        : {retryAfterMs: error.retryAfterMs}),
    },
  };
}
