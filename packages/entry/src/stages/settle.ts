import {randomUUID} from 'node:crypto';
import {
  addPin,
  formatModelVersion,
  signSession,
  type ModelVersion,
  type Session,
} from '@anvilrudder/core';
import type {EntryContext} from '../entry_context.js';
import type {GenerateRequest} from './caller_request.js';
import type {PlanOutcome} from './cascade.js';

/**
 * Bills a whole answer before its end is told to the caller.
 *
 * @throws RouterError when the record can be held nowhere.
 * @example
 * ```ts
 * await settleGeneration(context, request, outcome);
 * ```
 */
export async function settleGeneration(
  context: EntryContext,
  request: GenerateRequest,
  outcome: PlanOutcome,
): Promise<void> {
  context.metrics.count('requests_billed_total', {
    organisation: request.organisation,
  });
  await context.billing.record({
    requestId: request.requestId,
    organisation: request.organisation,
    steps: outcome.steps.map(step => ({
      model: step.model,
      version: step.version,
      promptTokens: step.result.promptTokens,
      outputTokens: step.result.tokenCount,
    })),
  });
}

/**
 * Issues the session token of an answer; the versions of the plan are pinned
 * for the kind of the request.
 *
 * @returns undefined when the kind issues no session and the request had none.
 * @example
 * ```ts
 * issueSessionToken(context, request, plan.steps);
 * ```
 */
export function issueSessionToken(
  context: EntryContext,
  request: GenerateRequest,
  steps: readonly ModelVersion[],
): string | undefined {
  if (!request.issuesSession && request.session === undefined) return undefined;
  const session: Session = request.session ?? {
    sessionId: randomUUID(),
    organisation: request.organisation,
    pins: [],
  };
  const pin = {kind: request.kind, steps: steps.map(formatModelVersion)};
  return signSession(addPin(session, pin), context.sessionKeys);
}
