import {
  createBackendError,
  type BackendError,
} from '../errors/backend_error.js';
import {parseJsonObject, readNumber, readString} from './json.js';

/** Codes by status with which a server says that it ran nothing. */
export type RefusalCodesByStatus = Readonly<Record<number, readonly string[]>>;

/**
 * Creates the error of an answer that is no success. Only a code listed for
 * the status proves that nothing ran; any other answer proves nothing.
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
