import type {IncomingMessage} from 'node:http';
import {RouterError, type MemoryHold} from '@anvilrudder/core';
import type {CountedBody} from './chunk_turns.js';
import type {HostResources} from './host_resources.js';
import {JoinedChunks} from './joined_chunks.js';

/** Limits on a request body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Maximum time between two chunks. */
  readonly idleTimeoutMs: number;
  /** Time at which the body must be complete, on the monotonic clock. */
  readonly endMs?: number;
  /** Memory of the body; undefined if this host has no budget. */
  readonly memory?: BodyMemory;
}

/** Memory that a request body takes from the budget of the host. */
export interface BodyMemory {
  readonly hold: MemoryHold;
  readonly resources: HostResources;
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
 * @throws RouterError `body_too_large`, `request_timeout`, `overloaded` if the memory
 *     of the host is used up, or `invalid_request` if the caller closes the connection
 *     early.
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
  {maxBytes, idleTimeoutMs, endMs, memory}: BodyLimits,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks = JoinedChunks.create();
    const hold = memory?.hold;
    let isSettled = false;
    const settle = (): void => {
      isSettled = true;
      hold?.become('running');
      clearTimeout(idleTimer);
      clearTimeout(endTimer);
    };
    const fail = (error: RouterError): void => {
      if (isSettled) return;
      settle();
      chunks.clear();
      hold?.resize(0);
      reject(error);
    };
    const idleTimer = setTimeout(
      () => fail(createTimeoutError()),
      idleTimeoutMs,
    );
    const endTimer =
      endMs === undefined
        ? undefined
        : setTimeout(
            () => fail(createTimeoutError()),
            Math.max(0, endMs - performance.now()),
          );
    const shed = (): void =>
      fail(createShedError(memory?.resources.drawRetryAfterMs()));
    hold?.become('body', shed);
    const counted: CountedBody = {
      reject: () => {
        memory?.resources.recordClosed('small_chunks');
        shed();
      },
    };
    message.on('data', (chunk: Buffer) => {
      if (isSettled) return;
      idleTimer.refresh();
      chunks.push(chunk);
      if (chunks.sizeBytes > maxBytes) {
        fail(createTooLargeError(maxBytes));
        return;
      }
      memory?.resources.chunkTurns.count(counted);
      hold?.countProgress(chunk.length);
      hold?.resize(chunks.costBytes);
    });
    message.once('end', () => {
      if (isSettled) return;
      settle();
      // The joined copy exists beside the chunks for a moment.
      hold?.resize(chunks.costBytes + chunks.sizeBytes);
      const body = chunks.takeAll();
      hold?.resize(body.length);
      resolve(body);
    });
    message.once('close', () => {
      fail(
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

function createTimeoutError(): RouterError {
  return RouterError.create('The body did not arrive in time.', {
    code: 'request_timeout',
  });
}

function createShedError(retryAfterMs: number | undefined): RouterError {
  return RouterError.create('This host has no room for the body.', {
    code: 'overloaded',
    retryAfterMs,
  });
}
