import {isRouterError, type ErrorCode} from '@anvilrudder/core';
import {Code, ConnectError} from '@connectrpc/connect';

/** Response header that contains the {@link ErrorCode} of an error. */
export const ERROR_CODE_HEADER = 'anvilrudder-error-code';

const CONNECT_CODES: ReadonlyMap<ErrorCode, Code> = new Map([
  ['invalid_request', Code.InvalidArgument],
  ['body_too_large', Code.InvalidArgument],
  ['unauthenticated', Code.Unauthenticated],
  ['not_allowed', Code.PermissionDenied],
  ['not_found', Code.NotFound],
  ['unknown_kind', Code.NotFound],
  ['unknown_model', Code.NotFound],
  ['limit_exceeded', Code.ResourceExhausted],
  ['overloaded', Code.Unavailable],
  ['not_ready', Code.Unavailable],
  ['platform_unavailable', Code.Unavailable],
  ['outcome_unknown', Code.Unknown],
  ['deadline_exceeded', Code.DeadlineExceeded],
]);

/** Creates a Connect error that sends its error code in a header. */
export function createConnectError(
  message: string,
  connectCode: Code,
  errorCode: ErrorCode,
): ConnectError {
  const headers = {[ERROR_CODE_HEADER]: errorCode};
  return new ConnectError(message, connectCode, headers);
}

/**
 * Converts a thrown value to a Connect error. An unexpected value becomes an
 * `internal` error without its message, which may contain secrets.
 */
export function toConnectError(error: unknown): ConnectError {
  if (error instanceof ConnectError) return error;
  if (!isRouterError(error)) {
    return createConnectError('Unexpected fault.', Code.Internal, 'internal');
  }
  const connectCode = CONNECT_CODES.get(error.code) ?? Code.Internal;
  return createConnectError(error.publicMessage, connectCode, error.code);
}
