import {RouterError} from '@anvilrudder/core';
import type {EntryContext} from '../entry_context.js';
import {resolveInForce} from './check_rules.js';

const JOURNAL_RETRY_MS = 2000;

/**
 * Admits a request of an organisation or refuses it at once.
 *
 * @returns A function to call when the request ends.
 * @throws RouterError `limit_exceeded`, `overloaded` or `not_ready`.
 * @example
 * ```ts
 * const release = admitRequest(context, 'school-a');
 * ```
 */
export function admitRequest(
  context: EntryContext,
  organisation: string,
): () => void {
  if (context.billing.isFull()) {
    throw RouterError.create('Too many answers wait to be billed.', {
      code: 'overloaded',
      retryAfterMs: JOURNAL_RETRY_MS,
    });
  }
  const {rules} = resolveInForce(context.keeper);
  return context.decisions.limits.acquire(organisation, rules);
}
