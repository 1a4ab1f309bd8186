import {RouterError} from '@anvilrudder/core';
import type {EntryContext} from '../entry_context.js';
import {resolveRulesInForce} from './check_rules.js';

const BILLING_RETRY_DELAY_MS = 2000;

/**
 * Admits a request of an organisation or refuses it immediately; a request
 * never waits here.
 *
 * @returns A function that must be called when the request ends.
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
      retryAfterMs: BILLING_RETRY_DELAY_MS,
    });
  }
  const {rules} = resolveRulesInForce(context.rulesManager);
  return context.decisions.limits.acquire(organisation, rules);
}
