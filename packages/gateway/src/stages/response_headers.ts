import type {IncomingHttpHeaders, OutgoingHttpHeaders} from 'node:http';
import {RELAY_NOT_RUN_HEADER, RELAY_REFUSED_HEADER} from './relay_headers.js';

/**
 * Hop-by-hop headers; they apply to a single connection. Those that hosts use between
 * them are set by the host that writes the response, never by a server behind it.
 */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  RELAY_NOT_RUN_HEADER,
  RELAY_REFUSED_HEADER,
]);

/**
 * Copies headers without the hop-by-hop headers, which include those named by
 * `connection`.
 *
 * @example
 * ```ts
 * copyEndToEndHeaders({connection: 'x-hop', 'x-hop': '1', accept: '*'}); // {accept: '*'}
 * ```
 */
export function copyEndToEndHeaders(
  headers: IncomingHttpHeaders,
): OutgoingHttpHeaders {
  const connectionHeaders = listConnectionHeaders(headers);
  const copy: OutgoingHttpHeaders = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue;
    if (HOP_BY_HOP_HEADERS.has(name) || connectionHeaders.includes(name))
      continue;
    copy[name] = value;
  }
  return copy;
}

function listConnectionHeaders({connection}: IncomingHttpHeaders): string[] {
  if (connection === undefined) return [];
  return connection.split(',').map(name => name.trim().toLowerCase());
}
