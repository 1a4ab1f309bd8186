import type {ServerResponse} from 'node:http';
import {
  createErrorBody,
  ERROR_DEFINITIONS,
  type RouterError,
} from '@anvilrudder/core';

const MS_PER_S = 1000;

/** Contents of an error response besides the error itself. */
export interface ErrorResponseOptions {
  readonly requestId: string;
  readonly headers: Readonly<Record<string, string>>;
  /** Closes the connection after the response. */
  readonly closesConnection: boolean;
}

/** Responds to a request with a typed error that the router created. */
export function writeErrorResponse(
  response: ServerResponse,
  error: RouterError,
  options: ErrorResponseOptions,
): void {
  const body = JSON.stringify(createErrorBody(error, options.requestId));
  const status = ERROR_DEFINITIONS[error.code].httpStatus;
  response.writeHead(status, {
    ...options.headers,
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    ...formatRetryAfter(error),
    ...(options.closesConnection ? {connection: 'close'} : {}),
  });
  response.end(body);
}

// Callers accept fractional seconds, which spread their retries over time.
function formatRetryAfter(error: RouterError): Record<string, string> {
  if (error.execution !== 'notRun' || error.retryAfterMs === undefined) {
    return {};
  }
  return {'retry-after': (error.retryAfterMs / MS_PER_S).toFixed(2)};
}
