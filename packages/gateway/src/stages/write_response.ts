import {once} from 'node:events';
import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {canHaveBody, type HttpStream} from '@anvilrudder/clients';
import {
  checkStatusClaim,
  chooseCallerEnd,
  isEventStream,
  type CallerEnd,
  type ResponseVerdict,
} from '@anvilrudder/core';
import type {OpenExchange} from './open_exchange.js';
import {copyEndToEndHeaders} from './response_headers.js';

/** A caller that reads nothing for this time loses what it has not read. */
const FLUSH_TIMEOUT_MS = 300;
/** A reset that arrives together with bytes looks like a close to many callers. */
const RESET_DELAY_MS = 50;
/** A body up to this size is written at once, however slowly its caller reads. */
const SMALL_BODY_BYTES = 16 * 1024;

/**
 * Responds to the caller with a whole response of a server.
 *
 * @throws RouterError if the caller must not get its status, see {@link writeHead}.
 */
export function respondWithBody(
  exchange: OpenExchange,
  stream: HttpStream,
  body: Buffer,
): void {
  const {response, arrivedMs, request, writer} = exchange.admitted;
  const headers = copyEndToEndHeaders(stream.headers);
  if (canHaveBody(request.method, stream.status))
    headers['content-length'] = body.length;
  writeHead(exchange, stream.status, headers);
  exchange.firstMs = performance.now() - arrivedMs;
  exchange.responseVerdict = 'complete';
  if (writer === undefined || body.length <= SMALL_BODY_BYTES) {
    response.end(body);
    return;
  }
  writer.write(body);
  writer.finish(() => response.end());
}

/**
 * Writes the head of a response of a server to the caller.
 *
 * @throws RouterError if its status says that the request has not run, and that is
 *     not proven.
 */
function writeHead(
  {admitted, mayHaveRun}: OpenExchange,
  status: number,
  headers: OutgoingHttpHeaders,
): void {
  checkStatusClaim(status, mayHaveRun);
  admitted.response.writeHead(status, headers);
}

/** True if the events of a response are relayed as they arrive. */
export function isRelayedAsStream(
  {admitted: {route}}: OpenExchange,
  {status, headers}: HttpStream,
): boolean {
  if (route.kind !== 'stream') return false;
  return isEventStream({status, contentType: headers['content-type']}, true);
}

/**
 * Writes the head of a stream. The caller gets chunks, however the server marks its
 * end, so that the end of this host or of a connection doesn't look like it.
 */
export function writeStreamHead(
  exchange: OpenExchange,
  stream: HttpStream,
): void {
  const {response, arrivedMs} = exchange.admitted;
  const headers = copyEndToEndHeaders(stream.headers);
  delete headers['content-length'];
  // Callers of HTTP/1.0 get no chunks.
  if (!response.useChunkedEncodingByDefault)
    exchange.callerFraming = 'connection';
  writeHead(exchange, stream.status, headers);
  exchange.firstMs = performance.now() - arrivedMs;
}

const WRITE_END: Readonly<
  Record<CallerEnd, (response: ServerResponse) => void>
> = {
  finish: response => response.end(),
  cut: response => closeAfterWrites(response, socket => socket.destroy()),
  reset: response =>
    closeAfterWrites(response, socket => {
      setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
    }),
};

/** Ends a response whose head has been written, as its verdict says. */
export function endResponse(
  exchange: OpenExchange,
  verdict: ResponseVerdict,
): void {
  const {response, writer} = exchange.admitted;
  const callerEnd = chooseCallerEnd(verdict, exchange.callerFraming);
  exchange.responseVerdict = verdict;
  if (writer === undefined) {
    WRITE_END[callerEnd](response);
  } else if (callerEnd === 'finish') {
    writer.finish(() => response.end());
  } else {
    writer.flush();
    WRITE_END[callerEnd](response);
  }
}

/** Closes a connection once what was written to it has been sent. */
function closeAfterWrites(
  response: ServerResponse,
  close: (socket: Socket) => void,
): void {
  const {socket} = response;
  if (socket === null || !socket.writable) {
    response.destroy();
    return;
  }
  const timer = setTimeout(() => close(socket), FLUSH_TIMEOUT_MS);
  socket.write('', () => {
    clearTimeout(timer);
    close(socket);
  });
}

/** Waits until the caller has read what was written, or the exchange stops. */
export async function waitForDrain(exchange: OpenExchange): Promise<void> {
  const {response} = exchange.admitted;
  if (response.destroyed) return;
  try {
    await once(response, 'drain', {signal: exchange.signal});
  } catch (error) {
    // The exchange was stopped; the loop that reads the events checks for it.
    if (exchange.stopped === undefined) throw error;
  }
}
