import type {IncomingHttpHeaders} from 'node:http';
import type {BodyFraming} from '@anvilrudder/core';

/**
 * Reads the framing of a response body from its headers.
 *
 * @example
 * ```ts
 * readBodyFraming({'content-length': '12'}); // 'length'
 * ```
 */
export function readBodyFraming(headers: IncomingHttpHeaders): BodyFraming {
  if (headers['transfer-encoding'] !== undefined) return 'chunks';
  return headers['content-length'] === undefined ? 'connection' : 'length';
}
