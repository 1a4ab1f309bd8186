import type {HttpStream} from '@anvilrudder/clients';
import type {ByteBudget} from '@anvilrudder/core';

const MIB = 1024 * 1024;
/** Maximum size of a response that is buffered before it is relayed. */
const MAX_BUFFERED_BODY_BYTES = 8 * MIB;
/** Bodies up to this size are always read. */
const SMALL_BODY_BYTES = 256 * 1024;
/** What larger bodies take together, on the smallest host. */
export const MAX_LARGE_BODIES_BYTES = 48 * MIB;

/**
 * Reads the complete body of a response.
 *
 * @param budget limits what all large bodies take together.
 * @throws TransportError if the body is truncated, RangeError if it is too
 *     large.
 * @example
 * ```ts
 * const body = await readResponseBody(stream, budget);
 * ```
 */
export async function readResponseBody(
  stream: HttpStream,
  budget: ByteBudget,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let totalBytes = 0;
  let takenBytes = 0;
  try {
    for await (const chunk of stream.chunks) {
      totalBytes += chunk.length;
      const neededBytes = Math.max(0, totalBytes - SMALL_BODY_BYTES);
      const isTooLarge =
        totalBytes > MAX_BUFFERED_BODY_BYTES ||
        !budget.tryTake(neededBytes - takenBytes);
      if (isTooLarge) throw new RangeError('response body too large to buffer');
      takenBytes = neededBytes;
      chunks.push(chunk);
    }
  } finally {
    budget.release(takenBytes);
  }
  return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
}
