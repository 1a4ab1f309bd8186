import {
  createBackendError,
  type BackendError,
} from '../errors/backend_error.js';
import {parseJsonObject, readNumber, readString} from './json.js';

/**
 * Error codes, by HTTP status, with which a server states that it did not run
 * the request.
 */
export type RefusalCodesByStatus = Readonly<Record<number, readonly string[]>>;

/**
 * Creates the error of a response with an error status. Only a code listed for
 * the status proves that the request did not run; after any other response the
 * execution is unknown.
 */
export function createStatusError(
  status: number,
  body: string,
  refusalCodes: RefusalCodesByStatus,
): BackendError {
  const parsed = parseJsonObject(body) ?? {};
  const code = readString(parsed, 'code');
  const retryAfterMs = readNumber(parsed, 'retryAfterMs');
  if (code === undefined || !refusalCodes[status]?.includes(code)) {
    return createBackendError({phase: 'sent', failure: 'badAnswer', status});
  }
  return createBackendError({
    phase: 'refused',
    failure: 'refused',
    code,
    status,
    retryAfterMs,
  });
}
