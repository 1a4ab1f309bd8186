import {isSameModelVersion} from '@anvilrudder/core';
import type {EntryContext} from '../entry_context.js';
import type {GenerateRequest} from './caller_request.js';
import type {PlanOutcome} from './cascade.js';

/**
 * Reports a completed response to the model chooser, the rollout watch and the
 * rating loop: the steps that ran, the confidence of the engines and the text
 * to be rated.
 *
 * @example
 * ```ts
 * recordOutcome(context, request, outcome);
 * ```
 */
export function recordOutcome(
  context: EntryContext,
  request: GenerateRequest,
  outcome: PlanOutcome,
): void {
  const {chooser, ratings, rollouts} = context.decisions;
  for (const {model, version, result} of outcome.steps) {
    const checkScore = result.confidence;
    chooser.observeOutcome({kind: request.kind, model, version, checkScore});
    rollouts.record({model, version}, {requests: 1, checkScore});
  }
  const inForce = context.rulesManager.inForce();
  const isCandidate =
    inForce?.rules.rollouts.some(rule =>
      isSameModelVersion(rule, outcome.answered),
    ) ?? false;
  ratings?.offer({
    requestId: request.requestId,
    kind: request.kind,
    model: outcome.answered.model,
    version: outcome.answered.version,
    text: outcome.text,
    checkScore: outcome.result.confidence,
    isCandidate,
  });
}
