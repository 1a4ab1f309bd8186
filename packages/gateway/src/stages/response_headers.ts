import type {
  IncomingHttpHeaders,
  OutgoingHttpHeaders,
  ServerResponse,
} from 'node:http';
import type {HttpStream} from '@anvilrudder/clients';

/** Headers that concern one connection only. */
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
]);

/**
 * Copies headers without those that concern one connection only, the ones
 * that `connection` names included.
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

/** True for an answer that only the end of its connection delimits. */
export function isDelimitedByClose({headers}: HttpStream): boolean {
  const hasLength = headers['content-length'] !== undefined;
  return !hasLength && headers['transfer-encoding'] === undefined;
}

/**
 * Delimits an answer by the end of its connection, as its server did. The
 * router cannot vouch for more than the server did.
 */
export function delimitByClose(response: ServerResponse): void {
  response.shouldKeepAlive = false;
  response.useChunkedEncodingByDefault = false;
  response.removeHeader('transfer-encoding');
}
