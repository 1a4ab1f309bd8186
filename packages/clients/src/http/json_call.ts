import {createBackendError, toBackendError} from '../errors/backend_error.js';
import type {
  HttpResponse,
  HttpRequest,
  HttpTransport,
} from './http_transport.js';
import {parseJsonObject, type JsonObject} from './json.js';

/** Sends a request; transport errors become backend errors. */
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
 * Reads a JSON answer.
 *
 * @throws BackendError when the body is not what `read` expects.
 */
export function readAnswer<T>(
  answer: HttpResponse,
  read: (body: JsonObject) => T | undefined,
): T {
  const body = parseJsonObject(answer.body);
  const value = body === undefined ? undefined : read(body);
  if (value !== undefined) return value;
  const {status} = answer;
  throw createBackendError({phase: 'sent', failure: 'badAnswer', status});
}
