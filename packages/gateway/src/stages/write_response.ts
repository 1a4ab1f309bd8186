import {once} from 'node:events';
import type {HttpStream} from '@anvilrudder/clients';
import type {OpenExchange} from './open_exchange.js';
import {copyEndToEndHeaders, delimitByClose} from './response_headers.js';

/** Responds to the caller with the response of a server, read whole. */
export function respondWithBody(
  exchange: OpenExchange,
  stream: HttpStream,
  body: Buffer,
): void {
  const {response, arrivedMs, request} = exchange.admitted;
  const headers = copyEndToEndHeaders(stream.headers);
  if (stream.framing === 'connection') delimitByClose(response);
  else if (request.method !== 'HEAD') headers['content-length'] = body.length;
  exchange.firstMs = performance.now() - arrivedMs;
  response.writeHead(stream.status, headers);
  response.end(body);
}

/** Writes the head of a stream, whose body the caller gets in chunks. */
export function writeStreamHead(
  exchange: OpenExchange,
  stream: HttpStream,
): void {
  const {response, arrivedMs} = exchange.admitted;
  const headers = copyEndToEndHeaders(stream.headers);
  delete headers['content-length'];
  response.writeHead(stream.status, headers);
  exchange.firstMs = performance.now() - arrivedMs;
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
