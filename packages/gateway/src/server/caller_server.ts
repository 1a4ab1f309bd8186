import {createServer, type Server} from 'node:http';
import type {Socket} from 'node:net';
import {RouterError, type CallerLimits} from '@anvilrudder/core';
import type {GatewayContext} from '../gateway_context.js';
import {forward, type RequestSender} from '../stages/forward.js';
import {CallerConnections} from './caller_connections.js';
import {writeErrorResponse} from './error_response.js';

/** Limit of the HTTP parser; the configured limit is lower. */
const PARSER_MAX_HEADER_BYTES = 65_536;
/** Interval at which connections are checked for the header timeout. */
const CONNECTION_CHECK_INTERVAL_MS = 500;
/** Longer than hosts keep idle connections to each other. */
const RELAY_KEEP_ALIVE_MS = 15_000;
const HEADER_SEPARATOR_BYTES = 4;
const HEADERS_TOO_LARGE_RESPONSE =
  'HTTP/1.1 431 Request Header Fields Too Large\r\n' +
  'content-length: 0\r\nconnection: close\r\n\r\n';
const BAD_REQUEST_RESPONSE =
  'HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\nconnection: close\r\n\r\n';
const REQUEST_TIMEOUT_RESPONSE =
  'HTTP/1.1 408 Request Timeout\r\n' +
  'content-length: 0\r\nconnection: close\r\n\r\n';

const RESPONSE_BY_PARSER_ERROR: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: HEADERS_TOO_LARGE_RESPONSE,
  ERR_HTTP_REQUEST_TIMEOUT: REQUEST_TIMEOUT_RESPONSE,
};

/** A server for requests, and the connections that it has accepted. */
export interface CallerServer {
  readonly server: Server;
  readonly connections: CallerConnections;
}

/** Creates the server that callers connect to, or hosts that relay requests. */
export function createCallerServer(
  context: GatewayContext,
  sender: RequestSender = 'caller',
): CallerServer {
  const server: Server = createServer(
    {
      maxHeaderSize: PARSER_MAX_HEADER_BYTES,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
      requestTimeout: 0,
      noDelay: true,
    },
    (message, response) => {
      // Requests behind the last response of a connection are not processed, so
      // that callers may send them again.
      const isLast = () => context.drain.isDraining;
      if (!connections.open(message, response, isLast)) return;
      const limits = context.routing.current?.snapshot.limits;
      const headerBytes = countHeaderBytes(message.rawHeaders);
      if (limits !== undefined && headerBytes > limits.maxHeaderBytes) {
        writeErrorResponse(
          response,
          RouterError.create('The headers are too large.', {
            code: 'headers_too_large',
          }),
          {requestId: '', headers: {}, closesConnection: true},
        );
        return;
      }
      void forward(context, message, response, sender);
    },
  );
  const connections = CallerConnections.create(
    server,
    sender === 'caller' ? context.resources : undefined,
  );
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    if (connections.isUnreadable(socket)) return;
    context.metrics.count('malformed_requests_total');
    context.logger.info('caller_input_refused', {code: error.code});
    // An error response would be taken for that to an earlier request.
    if (connections.endBehindResponses(socket)) return;
    if (!socket.writable || socket.bytesWritten > 0) {
      socket.destroy();
      return;
    }
    socket.end(
      RESPONSE_BY_PARSER_ERROR[error.code ?? ''] ?? BAD_REQUEST_RESPONSE,
    );
  });
  return {server, connections};
}

/**
 * Creates the server that takes requests from other hosts, which do not reach
 * the servers themselves. Connections from other addresses are closed.
 */
export function createRelayServer(context: GatewayContext): CallerServer {
  const callerServer = createCallerServer(context, 'host');
  const {server} = callerServer;
  server.keepAliveTimeout = RELAY_KEEP_ALIVE_MS;
  server.prependListener('connection', (socket: Socket) => {
    if (!context.hostRelay.isHost(socket.remoteAddress)) socket.destroy();
  });
  return callerServer;
}

/** Applies the limits of a new configuration to the server. */
export function applyCallerLimits(server: Server, limits: CallerLimits): void {
  server.headersTimeout = limits.headerTimeoutMs;
  server.keepAliveTimeout = limits.idleTimeoutMs;
}

function countHeaderBytes(rawHeaders: readonly string[]): number {
  return rawHeaders.reduce(
    (sum, text) => sum + text.length + HEADER_SEPARATOR_BYTES / 2,
    0,
  );
}
