import type {AttemptOutcome} from '@anvilrudder/core';
import {
  createBackendError,
  isBackendError,
  type DoneEvent,
} from '@anvilrudder/clients';
import {createPreSendCheck} from '../backends/pre_send_check.js';
import type {PickedServer} from '../decisions/engine_pool.js';
import {TokenLatencyMeter} from '../decisions/token_latency_meter.js';
import type {EntryContext} from '../entry_context.js';
import type {GenerateRequest} from './caller_request.js';
import {assertDispatchAllowed, createWithdrawnError} from './check_rules.js';
import {
  resolveEngineRequestId,
  type StepProgress,
  type StepRequest,
  type StepResult,
  type TokenSink,
} from './step.js';

/**
 * Runs one attempt of a step at a picked server and reports its outcome to the
 * engine pool. The engine resumes after the last token that earlier attempts
 * have passed to `sink`.
 *
 * @throws BackendError when the server's response fails or is incomplete;
 *     RouterError when the rules do not allow the attempt at the moment its
 *     first byte is to be written.
 * @example
 * ```ts
 * const result = await runAttempt(context, step, server, progress, sink);
 * ```
 */
export async function runAttempt(
  context: EntryContext,
  step: StepRequest,
  server: PickedServer,
  progress: StepProgress,
  sink: TokenSink,
): Promise<StepResult> {
  const {request, model, version} = step;
  const sendCheck = createPreSendCheck(() => assertMaySend(context, step));
  const engineRequestId = resolveEngineRequestId(step);
  const latencyMeter = TokenLatencyMeter.create();
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
      {signal: request.signal, confirmSend: sendCheck.confirmSend},
    );
    for await (const event of events) {
      if (event.kind === 'done') {
        outcome = {isFailure: false, tokenLatencyMs: latencyMeter.meanMs};
        return createResult(event, engineRequestId);
      }
      latencyMeter.observe(performance.now());
      progress.firstTokenAtMs ??= performance.now();
      progress.tokenCount = event.index + 1;
      await sink(event.index, event.text);
    }
    throw createBackendError({phase: 'streaming', failure: 'incomplete'});
  } catch (error) {
    sendCheck.rethrowRefusal(error);
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

// Neither a disconnected caller nor a refusal because all slots are in use is a
// failure of the server.
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
