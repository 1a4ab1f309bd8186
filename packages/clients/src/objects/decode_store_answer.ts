import {createObjectStoreError} from '../errors/object_store_error.js';
import type {HttpResponse} from '../http/http_transport.js';
import {parseJsonObject, type JsonObject} from '../http/json.js';

/**
 * Reads the JSON answer of an object store.
 *
 * @throws ObjectStoreError when the body is not what `read` expects.
 * @example
 * ```ts
 * const version = decodeStoreResponse(answer, body => readNumber(body, 'version'));
 * ```
 */
export function decodeStoreAnswer<T>(
  answer: HttpResponse,
  read: (body: JsonObject) => T | undefined,
): T {
  const body = parseJsonObject(answer.body);
  const value = body === undefined ? undefined : read(body);
  if (value !== undefined) return value;
  throw createObjectStoreError('the object store answered malformed JSON', {
    failure: 'badAnswer',
    execution: 'unknown',
  });
}
