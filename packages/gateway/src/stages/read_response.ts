import type {ServerResponse} from 'node:http';
import {isTransportError, type HttpStream} from '@anvilrudder/clients';
import {
  isEventStream,
  judgeResponseEnd,
  type EventEvidence,
  type ResponseVerdict,
} from '@anvilrudder/core';
import {EventSplitter} from './event_splitter.js';
import type {ResponseFailure} from './log_response_end.js';
import type {OpenExchange} from './open_exchange.js';
import {
  createResponseAllowance,
  type ResponseAllowance,
} from './response_allowance.js';
import type {GatewayContext} from '../gateway_context.js';

const MIB = 1024 * 1024;
/** Maximum size of a response that is buffered before it is relayed. */
const MAX_BUFFERED_BODY_BYTES = 8 * MIB;
/** Bodies up to this size are always read. */
const SMALL_BODY_BYTES = 256 * 1024;
/** What larger bodies take together, on the smallest host. */
export const MAX_LARGE_BODIES_BYTES = 48 * MIB;

/** A response that was read to its end. */
export interface ReadResponse {
  /** Empty if the response is broken. */
  readonly body: Buffer;
  readonly verdict: ResponseVerdict;
  /** Undefined if its sender ended the response. */
  readonly failure: ResponseFailure | undefined;
  /** The connection ended before the body did, as if the sender had crashed. */
  readonly isCutOff: boolean;
}

const EMPTY = Buffer.alloc(0);

/**
 * Reads a response to its end. One that is too large to keep counts as broken.
 *
 * Its memory is taken from that of the host, or from the limit of all large bodies,
 * which has a whole body until its caller has it, or has left.
 *
 * @example
 * ```ts
 * const {body, verdict} = await readResponse(context, exchange, stream);
 * ```
 */
export async function readResponse(
  context: GatewayContext,
  exchange: OpenExchange,
  stream: HttpStream,
): Promise<ReadResponse> {
  const {framing} = stream;
  const allowance = createResponseAllowance(context, SMALL_BODY_BYTES);
  try {
    const body = await readBody(stream, allowance, exchange.signal);
    if (allowance.isKeptUntilRead)
      releaseOnClose(exchange.admitted.response, allowance);
    else allowance.release();
    const events = findEvents(stream, body);
    const verdict = judgeResponseEnd({framing, hasFailed: false, events});
    return {
      body,
      verdict,
      failure: undefined,
      isCutOff: verdict === 'broken',
    };
  } catch (error) {
    const isFailure = isTransportError(error);
    if (!isFailure && !(error instanceof RangeError)) throw error;
    return {
      body: EMPTY,
      verdict: judgeResponseEnd({framing, hasFailed: true}),
      failure: isFailure ? error.failure : 'bodyTooLarge',
      isCutOff: isFailure && error.failure === 'cut',
    };
  }
}

/** Describes the events of a body; undefined if it is no stream of events. */
function findEvents(
  {status, headers}: HttpStream,
  body: Buffer,
): EventEvidence | undefined {
  const head = {status, contentType: headers['content-type']};
  if (!isEventStream(head, false)) return undefined;
  const splitter = EventSplitter.create();
  const {bytes} = splitter.push(body);
  return {
    hasWhole: bytes.length > 0,
    hasOutstanding: splitter.incompleteEventBytes > 0,
  };
}

function releaseOnClose(
  response: ServerResponse,
  allowance: ResponseAllowance,
): void {
  if (response.closed) allowance.release();
  else response.once('close', () => allowance.release());
}

/** Takes what a body needs from the allowance, and keeps it if it succeeds. */
async function readBody(
  stream: HttpStream,
  allowance: ResponseAllowance,
  signal: AbortSignal,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let totalBytes = 0;
  // A response gets the memory for all that it announces at once.
  let grantedBytes = 0;
  const announcedBytes = Number(stream.headers['content-length'] ?? 0);
  try {
    for await (const chunk of stream.chunks) {
      totalBytes += chunk.length;
      const neededBytes = Math.max(totalBytes, announcedBytes);
      const isTooLarge =
        neededBytes > MAX_BUFFERED_BODY_BYTES ||
        (neededBytes > grantedBytes &&
          !(await allowance.growTo(neededBytes, signal)));
      if (isTooLarge) throw new RangeError('response body too large to buffer');
      grantedBytes = neededBytes;
      chunks.push(chunk);
    }
  } catch (error) {
    allowance.release();
    throw error;
  }
  return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
}
