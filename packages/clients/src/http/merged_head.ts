import type {IncomingHttpHeaders} from 'node:http';

const STATUS_LINE = /HTTP\/1\.[01] \d{3}/;

/**
 * Returns true if the head of a response contains the status line of another
 * one: the first head broke off, and the parser has read the next one as the
 * rest of it. Such a head tells nothing of the request.
 *
 * @example
 * ```ts
 * isMergedHead('ServHTTP/1.1 200 OK', {}); // true
 * ```
 */
export function isMergedHead(
  reason: string | undefined,
  headers: IncomingHttpHeaders,
): boolean {
  if (reason !== undefined && STATUS_LINE.test(reason)) return true;
  return Object.values(headers)
    .flat()
    .some(value => value !== undefined && STATUS_LINE.test(value));
}
