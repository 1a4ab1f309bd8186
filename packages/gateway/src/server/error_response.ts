import type {ServerResponse} from 'node:http';
import {
  createErrorBody,
  ERROR_DEFINITIONS,
  type RouterError,
} from '@anvilrudder/core';

const MS_PER_S = 1000;

/** What an answer of the router's own carries besides its error. */
export interface ErrorResponseOptions {
  readonly requestId: string;
  readonly headers: Readonly<Record<string, string>>;
  /** The connection is closed behind the answer. */
  readonly closesConnection: boolean;
}

/** Answers a request with a typed error. */
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

// Fractions are allowed here, and spread the callers that come back.
function formatRetryAfter(error: RouterError): Record<string, string> {
  if (error.execution !== 'notRun' || error.retryAfterMs === undefined) {
    return {};
  }
  return {'retry-after': (error.retryAfterMs / MS_PER_S).toFixed(2)};
}
