import type {IncomingMessage} from 'node:http';
import {RouterError} from '@anvilrudder/core';

/** Limits on a request body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Maximum time between two chunks. */
  readonly idleTimeoutMs: number;
}

/** A request has a body only if its headers announce one. */
function hasBody(message: IncomingMessage): boolean {
  const {headers} = message;
  if (headers['transfer-encoding'] !== undefined) return true;
  return Number(headers['content-length'] ?? 0) > 0;
}

/**
 * Reads the complete body of a request.
 *
 * @returns undefined if the request has no body.
 * @throws RouterError `body_too_large`, `request_timeout`, or `invalid_request`
 *     if the caller closes the connection early.
 * @example
 * ```ts
 * const body = await readRequestBody(message, {maxBytes: 1024, idleTimeoutMs: 1000});
 * ```
 */
export function readRequestBody(
  message: IncomingMessage,
  limits: BodyLimits,
): Promise<Buffer | undefined> {
  if (!hasBody(message)) {
    message.resume();
    return Promise.resolve(undefined);
  }
  const contentLength = Number(message.headers['content-length'] ?? 0);
  if (contentLength > limits.maxBytes) {
    return Promise.reject(createTooLargeError(limits.maxBytes));
  }
  return collectBody(message, limits);
}

function collectBody(
  message: IncomingMessage,
  {maxBytes, idleTimeoutMs}: BodyLimits,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let totalBytes = 0;
    const timer = setTimeout(() => {
      reject(
        RouterError.create('The body did not arrive in time.', {
          code: 'request_timeout',
        }),
      );
    }, idleTimeoutMs);
    message.on('data', (chunk: Buffer) => {
      timer.refresh();
      totalBytes += chunk.length;
      if (totalBytes > maxBytes) {
        clearTimeout(timer);
        chunks.length = 0;
        reject(createTooLargeError(maxBytes));
        return;
      }
      chunks.push(chunk);
    });
    message.once('end', () => {
      clearTimeout(timer);
      resolve(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks));
    });
    message.once('close', () => {
      clearTimeout(timer);
      reject(
        RouterError.create('The caller closed the connection early.', {
          code: 'invalid_request',
        }),
      );
    });
  });
}

function createTooLargeError(maxBytes: number): RouterError {
  return RouterError.create(`The body exceeds ${maxBytes} bytes.`, {
    code: 'body_too_large',
  });
}
