import type {ServerResponse} from 'node:http';
import {isTransportError, type HttpStream} from '@anvilrudder/clients';
import {
  isEventStream,
  judgeResponseEnd,
  type ByteBudget,
  type EventEvidence,
  type ResponseVerdict,
} from '@anvilrudder/core';
import {EventSplitter} from './event_splitter.js';
import type {ResponseFailure} from './log_response_end.js';

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
 * @param budget limits what all large bodies take together. A whole body is
 *     released once its caller has it, or has left.
 * @example
 * ```ts
 * const {body, verdict} = await readResponse(stream, budget, response);
 * ```
 */
export async function readResponse(
  stream: HttpStream,
  budget: ByteBudget,
  response: ServerResponse,
): Promise<ReadResponse> {
  const {framing} = stream;
  try {
    const body = await readBody(stream, budget);
    releaseOnClose(response, () =>
      budget.release(countLargeBytes(body.length)),
    );
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

function releaseOnClose(response: ServerResponse, release: () => void): void {
  if (response.closed) release();
  else response.once('close', release);
}

/** Bytes of a body that count as those of a large one. */
function countLargeBytes(sizeBytes: number): number {
  return Math.max(0, sizeBytes - SMALL_BODY_BYTES);
}

/** Takes what a large body needs from the budget, and keeps it if it succeeds. */
async function readBody(
  stream: HttpStream,
  budget: ByteBudget,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let totalBytes = 0;
  let takenBytes = 0;
  try {
    for await (const chunk of stream.chunks) {
      totalBytes += chunk.length;
      const neededBytes = countLargeBytes(totalBytes);
      const isTooLarge =
        totalBytes > MAX_BUFFERED_BODY_BYTES ||
        !budget.tryTake(neededBytes - takenBytes);
      if (isTooLarge) throw new RangeError('response body too large to buffer');
      takenBytes = neededBytes;
      chunks.push(chunk);
    }
  } catch (error) {
    budget.release(takenBytes);
    throw error;
  }
  return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
}
