import {RouterError} from '@anvilrudder/core';
import type {EntryContext} from '../entry_context.js';
import type {GenerateRequest} from './caller_request.js';

const OVERLOAD_RETRY_MS = 1000;

/**
 * Admits a request or refuses it at once.
 *
 * @returns A function to call when the request ends.
 * @throws RouterError `overloaded` or `limit_exceeded`.
 * @example
 * ```ts
 * const release = admitRequest(context, request);
 * ```
 */
export function admitRequest(
  context: EntryContext,
  _request: GenerateRequest,
): () => void {
  const open = context.openRequests;
  if (open.count > context.settings.requests.maxQueued) {
    throw RouterError.create('This entry has too many open requests.', {
      code: 'overloaded',
      retryAfterMs: OVERLOAD_RETRY_MS,
    });
  }
  return () => undefined;
}
