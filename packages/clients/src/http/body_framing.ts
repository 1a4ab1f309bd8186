import type {IncomingHttpHeaders} from 'node:http';

/**
 * What marks the end of a response body: its length, its last chunk, or only the
 * end of the connection, which also ends a body that breaks off.
 */
export type BodyFraming = 'length' | 'chunks' | 'connection';

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
