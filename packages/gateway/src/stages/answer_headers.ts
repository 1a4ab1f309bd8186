import type {IncomingHttpHeaders, OutgoingHttpHeaders} from 'node:http';

/** Headers that concern one connection only. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
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
  const named = listNamedHeaders(headers);
  const copy: OutgoingHttpHeaders = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue;
    if (CONNECTION_HEADERS.has(name) || named.includes(name)) continue;
    copy[name] = value;
  }
  return copy;
}

function listNamedHeaders({connection}: IncomingHttpHeaders): string[] {
  if (connection === undefined) return [];
  return connection.split(',').map(name => name.trim().toLowerCase());
}
