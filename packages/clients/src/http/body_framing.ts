import type {IncomingHttpHeaders} from 'node:http';
import type {BodyFraming} from '@anvilrudder/core';

/** Statuses whose responses have no body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/**
 * True if a response to a request with this method and of this status can have a
 * body, whatever its headers say.
 *
 * @example
 * ```ts
 * canHaveBody('HEAD', 200); // false
 * ```
 */
export function canHaveBody(method: string, status: number): boolean {
  return method !== 'HEAD' && !BODILESS_STATUSES.has(status);
}

/**
 * Reads the framing of a response body from its head. A response that can have no
 * body ends with its head, as one with a length does.
 *
 * @param method of the request.
 * @example
 * ```ts
 * readBodyFraming('GET', 200, {'content-length': '12'}); // 'length'
 * ```
 */
export function readBodyFraming(
  method: string,
  status: number,
  headers: IncomingHttpHeaders,
): BodyFraming {
  if (!canHaveBody(method, status)) return 'length';
  if (headers['transfer-encoding'] !== undefined) return 'chunks';
  return headers['content-length'] === undefined ? 'connection' : 'length';
}
