import {ControlService} from '@anvilrudder/peers';
import type {Logger} from '@anvilrudder/observability';
import type {IncomingMessage, RequestListener, ServerResponse} from 'node:http';
import {isIP} from 'node:net';
import type {TLSSocket} from 'node:tls';

/** Paths of the calls that are authenticated with an operator token. */
const OPERATOR_PATHS: ReadonlySet<string> = new Set(
  ControlService.methods.map(
    method => `/${ControlService.typeName}/${method.name}`,
  ),
);

// A server that listens on an IPv6 address sees the addresses of IPv4 clients in
// this form (IPv4-mapped IPv6 addresses).
const MAPPED_IPV4_PREFIX = /^::ffff:(?=\d+\.)/i;

// Error body in the format of the Connect protocol.
const UNAUTHENTICATED_BODY = JSON.stringify({
  code: 'unauthenticated',
  message: 'A client certificate for this address is required.',
});

/**
 * Wraps the listener of a TLS server so that every call except those of
 * operators requires a client certificate that is signed by a configured CA
 * and valid for the IP address of the client.
 *
 * @example
 * ```ts
 * createServer({}, requirePeerCertificate(listener, logger), tls);
 * ```
 */
export function requirePeerCertificate(
  listener: RequestListener,
  logger: Logger,
): RequestListener {
  const verified = new WeakSet<TLSSocket>();
  return (request, response) => {
    const socket = request.socket as TLSSocket;
    if (verified.has(socket) || isOperatorCall(request)) {
      listener(request, response);
      return;
    }
    const certificateError = findCertificateError(socket);
    if (certificateError === undefined) {
      verified.add(socket);
      listener(request, response);
      return;
    }
    const {remoteAddress} = socket;
    logger.warn('peer_refused', {remoteAddress, reason: certificateError});
    sendUnauthenticated(request, response);
  };
}

function findCertificateError(socket: TLSSocket): string | undefined {
  if (!socket.authorized) return String(socket.authorizationError);
  const address = (socket.remoteAddress ?? '').replace(MAPPED_IPV4_PREFIX, '');
  const certificate = socket.getPeerX509Certificate();
  if (isIP(address) !== 0 && certificate?.checkIP(address)) return undefined;
  return 'the certificate is not valid for the address of the client';
}

function isOperatorCall(request: IncomingMessage): boolean {
  return OPERATOR_PATHS.has((request.url ?? '').split('?', 1)[0]);
}

function sendUnauthenticated(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  request.resume();
  response.writeHead(401, {
    'Content-Type': 'application/json',
    Connection: 'close',
  });
  response.end(UNAUTHENTICATED_BODY);
}
