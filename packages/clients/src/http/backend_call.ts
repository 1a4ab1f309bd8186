import {createBackendError, toBackendError} from '../errors/backend_error.js';
import type {
  HttpResponse,
  HttpRequest,
  HttpTransport,
} from './http_transport.js';
import {parseJsonObject, type JsonObject} from './json.js';

/**
 * Sends a request and reads the complete response.
 *
 * @throws BackendError when no complete response was received.
 */
export async function sendToBackend(
  transport: HttpTransport,
  request: HttpRequest,
): Promise<HttpResponse> {
  try {
    return await transport.send(request);
  } catch (error) {
    throw toBackendError(error);
  }
}

/**
 * Decodes a JSON response.
 *
 * @throws BackendError when the body is not a JSON object or `read` returns
 *   undefined.
 */
export function decodeJsonResponse<T>(
  response: HttpResponse,
  read: (body: JsonObject) => T | undefined,
): T {
  const body = parseJsonObject(response.body);
  const value = body === undefined ? undefined : read(body);
  if (value !== undefined) return value;
  const {status} = response;
  throw createBackendError({phase: 'sent', failure: 'badAnswer', status});
}
