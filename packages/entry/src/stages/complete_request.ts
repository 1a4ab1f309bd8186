import {randomUUID} from 'node:crypto';
import {
  addPin,
  formatModelVersion,
  isSameModelVersion,
  signSession,
  type ModelVersion,
  type RuleSet,
  type Session,
} from '@anvilrudder/core';
import type {EntryContext} from '../entry_context.js';
import type {GenerateRequest, ServiceRequest} from './caller_request.js';
import type {PlanOutcome, CompletedStep} from './cascade.js';
import type {RoutePlan} from './route.js';

const BILLING_PERIOD_LENGTH = 'YYYY-MM'.length;

/**
 * Records the billing of a complete response. It must resolve before the caller
 * is told that the response is complete. The cost and the token counts include
 * all steps of a cascade that ran.
 *
 * @example
 * ```ts
 * await billGeneration(context, request, plan, outcome);
 * ```
 */
export async function billGeneration(
  context: EntryContext,
  request: GenerateRequest,
  plan: RoutePlan,
  outcome: PlanOutcome,
): Promise<void> {
  const costMicros = sumOverSteps(outcome.steps, step =>
    resolveCostMicros(plan.rules, step),
  );
  await context.billing.record({
    requestId: request.requestId,
    organisation: request.organisation,
    period: resolveBillingPeriod(),
    kind: request.kind,
    model: outcome.answered.model,
    version: outcome.answered.version,
    promptTokens: sumOverSteps(outcome.steps, step => step.result.promptTokens),
    outputTokens: sumOverSteps(outcome.steps, step => step.result.tokenCount),
    costMicros,
  });
}

/**
 * Records the billing of a service call that got a response.
 *
 * @example
 * ```ts
 * await billServiceCall(context, request);
 * ```
 */
export async function billServiceCall(
  context: EntryContext,
  request: ServiceRequest,
): Promise<void> {
  await context.billing.record({
    requestId: request.requestId,
    organisation: request.organisation,
    period: resolveBillingPeriod(),
    kind: request.service,
    model: '',
    version: '',
    promptTokens: 0,
    outputTokens: 0,
    costMicros: 0,
  });
}

// The price of a million tokens in units of currency equals the price of one
// token in millionths of a unit.
function resolveCostMicros(rules: RuleSet, step: CompletedStep): number {
  const rule = rules.models.find(each => isSameModelVersion(each, step));
  const {promptTokens, tokenCount} = step.result;
  return (rule?.costPerMtok ?? 0) * (promptTokens + tokenCount);
}

function resolveBillingPeriod(): string {
  return new Date().toISOString().slice(0, BILLING_PERIOD_LENGTH);
}

function sumOverSteps(
  steps: readonly CompletedStep[],
  read: (step: CompletedStep) => number,
): number {
  return steps.reduce((sum, step) => sum + read(step), 0);
}

/**
 * Issues the session token for a response. For the kind of the request, the
 * session is pinned to the versions of the plan.
 *
 * @returns undefined when the kind issues no sessions and the request had none.
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
