import type {HttpStream} from '@anvilrudder/clients';

/** An answer that is read whole before any of it is passed on. */
const MAX_BUFFERED_BODY_BYTES = 8 * 1024 * 1024;

/**
 * Reads a whole answer.
 *
 * @throws TransportError when it breaks off, RangeError when it is too large.
 * @example
 * ```ts
 * const body = await readWholeAnswer(stream);
 * ```
 */
export async function readResponseBody(stream: HttpStream): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let totalBytes = 0;
  for await (const chunk of stream.chunks) {
    totalBytes += chunk.length;
    if (totalBytes > MAX_BUFFERED_BODY_BYTES) {
      throw new RangeError('the answer is too large to be held');
    }
    chunks.push(chunk);
  }
  return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
}
