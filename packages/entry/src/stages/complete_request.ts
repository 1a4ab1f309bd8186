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
 * Bills a whole answer before its end is told to the caller; the steps of a
 * cascade that ran before it are part of its cost.
 *
 * @example
 * ```ts
 * await settleGeneration(context, request, plan, outcome);
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
 * Bills the answer of a plain service.
 *
 * @example
 * ```ts
 * await settleServiceCall(context, request);
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

// The price of a million tokens is the price of one token in millionths.
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
