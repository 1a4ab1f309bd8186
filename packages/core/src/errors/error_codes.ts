/** Whether the request behind an error was executed by a backend server. */
export type Execution = 'notRun' | 'unknown' | 'ran';

/** Properties of an error code that matter to a caller. */
export interface ErrorDefinition {
  readonly httpStatus: number;
  readonly execution: Execution;
  /** True when the response has a `Retry-After` header. */
  readonly isRetryable: boolean;
  readonly description: string;
}

/**
 * All errors that a caller can receive. Only this table maps an error code to
 * its HTTP status and to whether the request was executed.
 */
export const ERROR_DEFINITIONS = {
  invalid_json: {
    httpStatus: 400,
    execution: 'notRun',
    isRetryable: false,
    description: 'The body is not valid JSON.',
  },
  invalid_request: {
    httpStatus: 400,
    execution: 'notRun',
    isRetryable: false,
    description: 'A field or header is missing, unknown or malformed.',
  },
  body_too_large: {
    httpStatus: 413,
    execution: 'notRun',
    isRetryable: false,
    description: 'The body exceeds the configured limit.',
  },
  headers_too_large: {
    httpStatus: 431,
    execution: 'notRun',
    isRetryable: false,
    description: 'The headers exceed the configured limit.',
  },
  request_timeout: {
    httpStatus: 408,
    execution: 'notRun',
    isRetryable: false,
    description: 'The request did not arrive in time.',
  },
  unauthenticated: {
    httpStatus: 401,
    execution: 'notRun',
    isRetryable: false,
    description: 'The API key is missing or unknown.',
  },
  not_found: {
    httpStatus: 404,
    execution: 'notRun',
    isRetryable: false,
    description: 'No such path.',
  },
  method_not_allowed: {
    httpStatus: 405,
    execution: 'notRun',
    isRetryable: false,
    description: 'The path does not take this method.',
  },
  unknown_kind: {
    httpStatus: 404,
    execution: 'notRun',
    isRetryable: false,
    description: 'No rule names this kind of request or service call.',
  },
  unknown_model: {
    httpStatus: 404,
    execution: 'notRun',
    isRetryable: false,
    description: 'No rule names this model or version.',
  },
  not_allowed: {
    httpStatus: 403,
    execution: 'notRun',
    isRetryable: false,
    description: 'No rule allows this organisation the model or version.',
  },
  version_withdrawn: {
    httpStatus: 409,
    execution: 'notRun',
    isRetryable: false,
    description:
      'The version of the session was withdrawn; start a new session.',
  },
  invalid_session: {
    httpStatus: 401,
    execution: 'notRun',
    isRetryable: false,
    description: 'The session token is forged, expired or foreign.',
  },
  limit_exceeded: {
    httpStatus: 429,
    execution: 'notRun',
    isRetryable: true,
    description: 'The organisation is over its limit.',
  },
  overloaded: {
    httpStatus: 503,
    execution: 'notRun',
    isRetryable: true,
    description: 'The predicted wait exceeds the deadline of the request.',
  },
  no_backend: {
    httpStatus: 503,
    execution: 'notRun',
    isRetryable: true,
    description: 'No backend server in service can take the request.',
  },
  quarantined: {
    httpStatus: 503,
    execution: 'notRun',
    isRetryable: true,
    description:
      'The request, or a part of its prompt, made servers crash and is not sent for a while.',
  },
  not_ready: {
    httpStatus: 503,
    execution: 'notRun',
    isRetryable: true,
    description: 'This entry has no confirmed rules.',
  },
  platform_unavailable: {
    httpStatus: 503,
    execution: 'notRun',
    isRetryable: true,
    description: 'The object API is needed for this call and is unavailable.',
  },
  key_reused: {
    httpStatus: 422,
    execution: 'notRun',
    isRetryable: false,
    description: 'The idempotency key was used with another request body.',
  },
  call_in_progress: {
    httpStatus: 409,
    execution: 'unknown',
    isRetryable: true,
    description: 'A call with this idempotency key is in progress.',
  },
  outcome_unknown: {
    httpStatus: 502,
    execution: 'unknown',
    isRetryable: false,
    description:
      'The call was sent and its outcome is unknown; it is not repeated.',
  },
  backend_refused: {
    httpStatus: 503,
    execution: 'notRun',
    isRetryable: true,
    description: 'Every backend server tried refused before it ran anything.',
  },
  backend_failed: {
    httpStatus: 502,
    execution: 'ran',
    isRetryable: false,
    description: 'The backend server ran the request and reported a failure.',
  },
  stream_broken: {
    httpStatus: 502,
    execution: 'unknown',
    isRetryable: true,
    description: 'The answer broke off and could not be resumed.',
  },
  deadline_exceeded: {
    httpStatus: 504,
    execution: 'unknown',
    isRetryable: true,
    description: 'The deadline passed while the request was running.',
  },
  internal: {
    httpStatus: 500,
    execution: 'unknown',
    isRetryable: false,
    description: 'An unexpected fault inside the entry.',
  },
} as const satisfies Record<string, ErrorDefinition>;

/** A stable error code that is sent to callers. */
export type ErrorCode = keyof typeof ERROR_DEFINITIONS;
