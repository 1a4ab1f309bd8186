import type {IncomingMessage} from 'node:http';
import {RouterError} from '@anvilrudder/core';

/**
 * Reads a request body as UTF-8 text.
 *
 * @throws RouterError `body_too_large` when the body exceeds `maxBytes`,
 *     `invalid_request` when the connection is lost before its end.
 * @example
 * ```ts
 * const text = await readBody(request, 1_048_576);
 * ```
 */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<string> {
  const declaredBytes = Number(request.headers['content-length'] ?? 0);
  if (declaredBytes > maxBytes) throw createTooLargeError(maxBytes);
  const chunks: Buffer[] = [];
  let totalBytes = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      totalBytes += chunk.length;
      if (totalBytes > maxBytes) throw createTooLargeError(maxBytes);
      chunks.push(chunk);
    }
  } catch (error) {
    if (totalBytes > maxBytes) throw error;
    throw RouterError.create('The body broke off.', {
      code: 'invalid_request',
      cause: error,
    });
  }
  return Buffer.concat(chunks, totalBytes).toString('utf8');
}

function createTooLargeError(maxBytes: number): RouterError {
  return RouterError.create(`The body exceeds ${maxBytes} bytes.`, {
    code: 'body_too_large',
  });
}
