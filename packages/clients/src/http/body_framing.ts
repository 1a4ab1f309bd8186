import type {IncomingHttpHeaders} from 'node:http';
import type {BodyFraming} from '@anvilrudder/core';

/** Statuses whose responses have no body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

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
  if (method === 'HEAD' || BODILESS_STATUSES.has(status)) return 'length';
  if (headers['transfer-encoding'] !== undefined) return 'chunks';
  return headers['content-length'] === undefined ? 'connection' : 'length';
}
