import type {HttpStream} from '@anvilrudder/clients';

/** Maximum size of a response that is buffered before it is relayed. */
const MAX_BUFFERED_BODY_BYTES = 8 * 1024 * 1024;

/**
 * Reads the complete body of a response.
 *
 * @throws TransportError if the body is truncated, RangeError if it is too
 *     large.
 * @example
 * ```ts
 * const body = await readResponseBody(stream);
 * ```
 */
export async function readResponseBody(stream: HttpStream): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let totalBytes = 0;
  for await (const chunk of stream.chunks) {
    totalBytes += chunk.length;
    if (totalBytes > MAX_BUFFERED_BODY_BYTES) {
      throw new RangeError('response body too large to buffer');
    }
    chunks.push(chunk);
  }
  return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
}
