import type {AttemptOutcome} from '@anvilrudder/core';
import {
  createBackendError,
  isBackendError,
  type DoneEvent,
} from '@anvilrudder/clients';
import {createSendGate} from '../backends/send_gate.js';
import type {PickedServer} from '../decisions/engine_pool.js';
import {PaceMeter} from '../decisions/pace_meter.js';
import type {EntryContext} from '../entry_context.js';
import type {GenerateRequest} from './caller_request.js';
import {assertDispatchAllowed, createWithdrawnError} from './check_rules.js';
import {
  resolveEngineRequestId,
  type Progress,
  type StepRequest,
  type StepResult,
  type TokenSink,
} from './step.js';

/**
 * Runs one attempt of a step at a picked server and tells the pool how it
 * ended. Tokens go on from those that earlier attempts passed on.
 *
 * @throws BackendError when the server gave no whole answer; RouterError when
 *     the rules refuse the attempt at the moment of its first byte.
 * @example
 * ```ts
 * const result = await runAttempt(context, step, server, progress, sink);
 * ```
 */
export async function runAttempt(
  context: EntryContext,
  step: StepRequest,
  server: PickedServer,
  progress: Progress,
  sink: TokenSink,
): Promise<StepResult> {
  const {request, model, version} = step;
  const gate = createSendGate(() => assertMaySend(context, step));
  const engineRequestId = resolveEngineRequestId(step);
  const pace = PaceMeter.create();
  let outcome: AttemptOutcome = {isFailure: false};
  try {
    const events = context.engines.generate(
      server.address,
      {
        requestId: engineRequestId,
        model,
        version,
        prompt: request.prompt,
        maxTokens: request.maxTokens,
        priority: request.priority,
        deadlineMs: Math.max(1, request.deadlineAtMs - performance.now()),
        resumeFromToken: progress.tokenCount,
      },
      {signal: request.signal, confirmSend: gate.confirmSend},
    );
    for await (const event of events) {
      if (event.kind === 'done') {
        outcome = {isFailure: false, tokenLatencyMs: pace.meanMs};
        return createResult(event, engineRequestId);
      }
      pace.observe(performance.now());
      progress.firstTokenAtMs ??= performance.now();
      progress.tokenCount = event.index + 1;
      await sink(event.index, event.text);
    }
    throw createBackendError({phase: 'streaming', failure: 'incomplete'});
  } catch (error) {
    gate.rethrow(error);
    outcome = resolveAttemptOutcome(request, error);
    throw error;
  } finally {
    context.decisions.engines.finish(server.id, outcome);
  }
}

function assertMaySend(context: EntryContext, step: StepRequest): void {
  const {model, version, request} = step;
  const {organisation, kind} = request;
  if (context.decisions.rollouts.isStopped(step)) {
    throw createWithdrawnError(step);
  }
  assertDispatchAllowed(context.keeper, {organisation, kind, model, version});
}

// A caller that left says nothing about the server, and neither does a
// refusal for want of a slot.
function resolveAttemptOutcome(
  request: GenerateRequest,
  error: unknown,
): AttemptOutcome {
  if (!isBackendError(error) || request.signal.aborted) {
    return {isFailure: false};
  }
  return {
    isFailure: error.code !== 'full',
    isUnreachable: error.phase === 'beforeFirstByte',
  };
}

function createResult(done: DoneEvent, engineRequestId: string): StepResult {
  return {
    tokenCount: done.tokenCount,
    promptTokens: done.promptTokens,
    cachedPromptTokens: done.cachedPromptTokens,
    confidence: done.confidence,
    engineRequestId,
  };
}
