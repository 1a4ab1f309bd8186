import ModernError from 'modern-errors';
import {
  ERROR_DEFINITIONS,
  type ErrorCode,
  type Execution,
} from './error_codes.js';

/** Where a request was when it failed, and when to come back. */
export interface RouterErrorOptions {
  readonly code: ErrorCode;
  /** Overrides the execution of the code's definition. */
  readonly execution?: Execution;
  /** When the caller may come back, in milliseconds from now. */
  readonly retryAfterMs?: number;
  readonly cause?: unknown;
}

/** Base of every error of the product. */
export const BaseError = ModernError.subclass('BaseError');

/** When to come back after an error that names no time of its own. */
export const DEFAULT_RETRY_AFTER_MS = 1000;

const RouterErrorClass = BaseError.subclass('RouterError');

/** An error that ends a request with a typed answer. */
export interface RouterError extends Error {
  readonly code: ErrorCode;
  /** The text for callers; `message` may also hold text of the cause. */
  readonly publicMessage: string;
  readonly execution: Execution;
  readonly retryAfterMs: number | undefined;
}

export const RouterError = {
  /**
   * Creates an error that ends a request with a typed answer.
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

// Every retryable error tells when to come back.
function resolveRetryAfterMs(code: ErrorCode): number | undefined {
  return ERROR_DEFINITIONS[code].isRetryable
    ? DEFAULT_RETRY_AFTER_MS
    : undefined;
}

/**
 * True for errors made by {@link RouterError.create}.
 *
 * @example
 * ```ts
 * isRouterError(new TypeError('x')); // false
 * ```
 */
export function isRouterError(error: unknown): error is RouterError {
  return error instanceof RouterErrorClass;
}

/** The JSON body of an error answer. */
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
 * Turns any thrown value into a RouterError; unexpected ones become
 * `internal` without their message, which may hold secrets.
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
 * Builds the JSON body of an error answer.
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
