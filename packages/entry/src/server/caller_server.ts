import {randomUUID} from 'node:crypto';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';
import {
  RouterError,
  createErrorBody,
  normalizeError,
  type RouterError as RouterErrorType,
} from '@anvilrudder/core';
import type {EntryContext} from '../entry_context.js';
import type {RawRequest} from '../stages/caller_request.js';
import {createServer, resolveCallerTls, type TlsSource} from '../tls/index.js';
import {createResponseWriter, type ResponseWriter} from './response_writer.js';
import {findRoute, hasBody} from './caller_routes.js';
import {OpenResponses} from './open_responses.js';
import {readBody} from './request_body.js';

const MAX_HEADER_BYTES = 16_384;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 30_000;
const KEEP_ALIVE_TIMEOUT_MS = 15_000;
const REQUEST_ID_PATTERN = /^[A-Za-z0-9_-]{1,64}$/;
const SINGLE_VALUE_HEADERS = [
  'authorization',
  'idempotency-key',
  'x-request-id',
];

/**
 * Creates the HTTP server for callers. Responses are JSON or a stream of
 * events; error responses, including those to malformed requests, carry an
 * error code.
 *
 * @param tls The source of the certificate; without it the server uses plain
 *     HTTP.
 * @example
 * ```ts
 * createCallerServer(context).listen(8080, '127.0.0.1');
 * ```
 */
export function createCallerServer(
  context: EntryContext,
  tls?: TlsSource,
): Server {
  const openResponses = OpenResponses.create();
  const server = createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      insecureHTTPParser: false,
    },
    (request, response) => {
      if (openResponses.open(request, response))
        void serveRequest(context, request, response);
    },
    tls && {source: tls, resolve: resolveCallerTls},
  );
  server.on('clientError', (_error, socket) => {
    // An error response would be taken for that to an earlier request.
    if (openResponses.isUnreadable(socket)) return;
    if (openResponses.endBehindResponses(socket)) return;
    rejectMalformedRequest(socket);
  });
  return server;
}

async function serveRequest(
  context: EntryContext,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const receivedAtMs = performance.now();
  const requestId = resolveRequestId(request);
  const callerAbort = new AbortController();
  // The request counts as open until its response has been handed to the
  // socket, so that a planned stop does not cut off a response.
  const closeRequest = context.openRequests.add(requestId);
  response.on('close', () => {
    closeRequest();
    if (!response.writableFinished) callerAbort.abort();
  });
  const writer = createResponseWriter(response, {
    requestId,
    isClosing: () => !context.isAccepting(),
  });
  try {
    const handle = resolveHandler(request);
    const raw: RawRequest = {
      requestId,
      headers: request.headers,
      body: hasBody(request)
        ? await readBody(request, context.settings.requests.maxBodyBytes)
        : '',
      receivedAtMs,
      signal: callerAbort.signal,
    };
    await handle(context, raw, writer);
    if (hasBody(request)) context.metrics.count('answers_total', {code: 'ok'});
  } catch (error) {
    writeErrorResponse(context, requestId, error, writer);
  }
}

function resolveHandler(
  request: IncomingMessage,
): NonNullable<ReturnType<typeof findRoute>>['handle'] {
  const route = findRoute(request.url ?? '/');
  if (route === undefined) {
    throw RouterError.create('No such path.', {code: 'not_found'});
  }
  if (route.method !== request.method) {
    throw RouterError.create(`This path takes ${route.method}.`, {
      code: 'method_not_allowed',
    });
  }
  for (const name of SINGLE_VALUE_HEADERS) {
    if ((request.headersDistinct[name]?.length ?? 0) > 1) {
      throw RouterError.create(`Header ${name} is given twice.`, {
        code: 'invalid_request',
      });
    }
  }
  return route.handle;
}

// A well-formed id from the caller becomes the prefix of the request id, so
// that both sides can find the request in their logs.
function resolveRequestId(request: IncomingMessage): string {
  const given = request.headers['x-request-id'];
  const prefix =
    typeof given === 'string' && REQUEST_ID_PATTERN.test(given)
      ? `${given}-`
      : '';
  return `${prefix}${randomUUID()}`;
}

function writeErrorResponse(
  context: EntryContext,
  requestId: string,
  thrown: unknown,
  writer: ResponseWriter,
): void {
  const error: RouterErrorType = normalizeError(thrown);
  context.metrics.count('answers_total', {code: error.code});
  const fields = {
    requestId,
    code: error.code,
    execution: error.execution,
    message: error.message,
  };
  if (error.code === 'internal') {
    context.logger.error('request_failed', {...fields, stack: error.stack});
  } else {
    context.logger.info('request_refused', fields);
  }
  writer.writeError(error);
}

function rejectMalformedRequest(socket: Duplex): void {
  if (!socket.writable) return;
  const body = JSON.stringify(
    createErrorBody(
      RouterError.create('The request is not valid HTTP.', {
        code: 'invalid_request',
      }),
      randomUUID(),
    ),
  );
  socket.end(
    'HTTP/1.1 400 Bad Request\r\nConnection: close\r\n' +
      'Content-Type: application/json\r\n' +
      `Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
  );
}
