import {RouterError, isRouterError, type ModelVersion} from '@anvilrudder/core';
import type {EntryContext} from '../entry_context.js';
import type {ResponseWriter} from '../server/response_writer.js';
import type {GenerateRequest} from './caller_request.js';
import {passesCheck} from './check_response.js';
import {runStep} from './dispatch.js';
import type {RoutePlan} from './route.js';
import type {StepResult, TokenSink} from './step.js';

/** A step that an engine ran to its end. */
export interface CompletedStep extends ModelVersion {
  readonly result: StepResult;
}

/** How a plan ended: which step answered and which ones ran. */
export interface PlanOutcome {
  readonly answered: ModelVersion;
  readonly result: StepResult;
  readonly steps: readonly CompletedStep[];
  /** The answer as the caller got it. */
  readonly text: string;
}

/** Passes tokens on to the caller and keeps their text. */
interface TokenRelay {
  readonly write: TokenSink;
  readonly parts: readonly string[];
}

interface BufferedToken {
  readonly index: number;
  readonly text: string;
}

/**
 * Runs the steps of a plan in turn. The answer of a step that another can
 * replace is held back until its check passes; the last one streams at once.
 *
 * @throws RouterError when no step gives a whole answer.
 * @example
 * ```ts
 * const outcome = await runPlan(context, request, plan, answer);
 * ```
 */
export async function runPlan(
  context: EntryContext,
  request: GenerateRequest,
  plan: RoutePlan,
  writer: ResponseWriter,
): Promise<PlanOutcome> {
  const completedSteps: CompletedStep[] = [];
  for (const [stepIndex, modelVersion] of plan.steps.entries()) {
    const isLast = stepIndex === plan.steps.length - 1;
    const step = {...modelVersion, request, stepIndex};
    const relay = createRelay(context, request, plan, modelVersion, writer);
    try {
      const bufferedTokens: BufferedToken[] = [];
      const sink: TokenSink = isLast
        ? relay.write
        : async (index, text) => void bufferedTokens.push({index, text});
      const result = await runStep(context, step, sink);
      completedSteps.push({...modelVersion, result});
      if (!isLast && !passesCheck(result, plan.checkThresholds[stepIndex])) {
        context.metrics.count('cascade_escalations_total', {
          kind: request.kind,
        });
        continue;
      }
      for (const token of bufferedTokens)
        await relay.write(token.index, token.text);
      const text = relay.parts.join('');
      return {answered: modelVersion, result, steps: completedSteps, text};
    } catch (error) {
      if (isLast || !canEscalate(error)) {
        throw completedSteps.length > 0 ? markAsRan(error) : error;
      }
    }
  }
  throw RouterError.create('The plan has no step.', {code: 'not_allowed'});
}

function createRelay(
  context: EntryContext,
  request: GenerateRequest,
  plan: RoutePlan,
  modelVersion: ModelVersion,
  writer: ResponseWriter,
): TokenRelay {
  let lastTokenAtMs: number | undefined;
  const parts: string[] = [];
  const write: TokenSink = async (index, text) => {
    parts.push(text);
    const nowMs = performance.now();
    if (lastTokenAtMs === undefined) {
      const waitedMs = nowMs - request.receivedAtMs;
      context.metrics.recordMs('first_token_seconds', {}, waitedMs);
      await writer.writeEvent('start', {
        requestId: request.requestId,
        model: modelVersion.model,
        version: modelVersion.version,
        revision: plan.revision,
      });
    } else {
      const gapMs = nowMs - lastTokenAtMs;
      context.metrics.recordMs('inter_token_seconds', {}, gapMs);
    }
    lastTokenAtMs = nowMs;
    await writer.writeEvent('token', {index, text});
  };
  return {write, parts};
}

// A step that could not be run may be replaced by the next one; a caller
// that left or a passed deadline ends the plan.
function canEscalate(error: unknown): boolean {
  return isRouterError(error) && error.code !== 'deadline_exceeded';
}

// An earlier step ran, so the request is never told as not run.
function markAsRan(error: unknown): unknown {
  if (!isRouterError(error) || error.execution !== 'notRun') return error;
  return RouterError.create(error.publicMessage, {
    code: error.code,
    retryAfterMs: error.retryAfterMs,
    execution: 'ran',
    cause: error,
  });
}
