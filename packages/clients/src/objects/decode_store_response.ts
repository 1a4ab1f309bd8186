import {createObjectStoreError} from '../errors/object_store_error.js';
import type {HttpResponse} from '../http/http_transport.js';
import {parseJsonObject, type JsonObject} from '../http/json.js';

/**
 * Decodes a JSON response of the object store.
 *
 * @throws ObjectStoreError when the body is not a JSON object or `read` returns
 *   undefined.
 * @example
 * ```ts
 * const version = decodeStoreResponse(response, body => readNumber(body, 'version'));
 * ```
 */
export function decodeStoreResponse<T>(
  response: HttpResponse,
  read: (body: JsonObject) => T | undefined,
): T {
  const body = parseJsonObject(response.body);
  const value = body === undefined ? undefined : read(body);
  if (value !== undefined) return value;
  throw createObjectStoreError(
    'invalid JSON in a response of the object store',
    {
      failure: 'badAnswer',
      execution: 'unknown',
    },
  );
}
