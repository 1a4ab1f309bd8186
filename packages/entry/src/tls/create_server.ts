import {
  createServer as createHttpServer,
  type RequestListener,
  type Server,
  type ServerOptions,
} from 'node:http';
import {
  createServer as createHttpsServer,
  type Server as HttpsServer,
  type ServerOptions as HttpsOptions,
} from 'node:https';
import type {Socket} from 'node:net';
import type {TlsMaterial} from './tls_material.js';
import type {TlsSource} from './tls_source.js';

/** TLS configuration of a server. */
export interface ServerTls {
  readonly source: TlsSource;
  /** Converts a certificate with its key into the options of the server. */
  readonly resolve: (material: TlsMaterial) => HttpsOptions;
}

/**
 * Creates an HTTP server, or an HTTPS server when `tls` is given. New
 * connections use a renewed certificate immediately; connections made before
 * the renewal are closed after their next response.
 *
 * @example
 * ```ts
 * const server = createServer({}, listener, {source, resolve: resolveCallerTls});
 * ```
 */
export function createServer(
  options: ServerOptions,
  listener: RequestListener,
  tls?: ServerTls,
): Server {
  if (tls === undefined) return createHttpServer(options, listener);
  const {source, resolve} = tls;
  const server = createHttpsServer({
    ...options,
    ...resolve(source.material),
  });
  closeOutdatedConnections(server, source);
  server.on('request', listener);
  source.onChange(material => server.setSecureContext(resolve(material)));
  return server;
}

function closeOutdatedConnections(
  server: HttpsServer,
  source: TlsSource,
): void {
  let currentSockets = new WeakSet<Socket>();
  server.on('secureConnection', socket => currentSockets.add(socket));
  server.on('request', (request, response) => {
    if (currentSockets.has(request.socket)) return;
    response.setHeader('Connection', 'close');
  });
  source.onChange(() => {
    currentSockets = new WeakSet();
  });
}
