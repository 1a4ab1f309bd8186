import {RouterError, isRouterError, type ModelVersion} from '@anvilrudder/core';
import type {EntryContext} from '../entry_context.js';
import type {ResponseWriter} from '../server/response_writer.js';
import type {GenerateRequest} from './caller_request.js';
import {passesCheck} from './check_response.js';
import {runStep} from './dispatch.js';
import type {RoutePlan} from './route.js';
import type {StepResult, TokenSink} from './step.js';

/** A step that an engine has completed. */
export interface CompletedStep extends ModelVersion {
  readonly result: StepResult;
}

/** The outcome of a plan. */
export interface PlanOutcome {
  /** The model version whose response the caller got. */
  readonly answered: ModelVersion;
  readonly result: StepResult;
  /** All steps that were completed, in the order of the plan. */
  readonly steps: readonly CompletedStep[];
  /** The generated text that the caller got. */
  readonly text: string;
}

/** Writes tokens to the caller and collects their text. */
interface TokenRelay {
  readonly write: TokenSink;
  readonly parts: readonly string[];
}

interface BufferedToken {
  readonly index: number;
  readonly text: string;
}

/**
 * Runs the steps of a plan in turn. The tokens of each step but the last are
 * buffered until its response passes the check; those of the last step are
 * streamed as they arrive.
 *
 * @throws RouterError when no step gives a complete response.
 * @example
 * ```ts
 * const outcome = await runPlan(context, request, plan, writer);
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
      const buffered: BufferedToken[] = [];
      const sink: TokenSink = isLast
        ? relay.write
        : async (index, text) => void buffered.push({index, text});
      const result = await runStep(context, step, sink);
      completedSteps.push({...modelVersion, result});
      if (!isLast && !passesCheck(result, plan.checkThresholds[stepIndex])) {
        context.metrics.count('cascade_escalations_total', {
          kind: request.kind,
        });
        continue;
      }
      for (const token of buffered) await relay.write(token.index, token.text);
      const text = relay.parts.join('');
      return {answered: modelVersion, result, steps: completedSteps, text};
    } catch (error) {
      if (isLast || !canEscalate(error)) {
        throw completedSteps.length > 0 ? markAsRan(error) : error;
      }
    }
  }
  throw RouterError.create('The plan has no step.', {
    code: 'not_allowed',
  });
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

// After a failed step the plan continues with the next one, unless the deadline
// has passed; a request that is aborted while queued has the same error code.
function canEscalate(error: unknown): boolean {
  return isRouterError(error) && error.code !== 'deadline_exceeded';
}

// Reports the execution `ran` in place of `notRun`, since an earlier step of
// the request was executed.
function markAsRan(error: unknown): unknown {
  if (!isRouterError(error) || error.execution !== 'notRun') return error;
  return RouterError.create(error.publicMessage, {
    code: error.code,
    retryAfterMs: error.retryAfterMs,
    execution: 'ran',
    cause: error,
  });
}
