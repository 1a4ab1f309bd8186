import {
  findRetryRefusal,
  formatModelVersion,
  type DispatchOutcome,
} from '@anvilrudder/core';
import {isBackendError, type BackendError} from '@anvilrudder/clients';
import type {PickedServer} from '../decisions/engine_pool.js';
import type {EntryContext} from '../entry_context.js';
import {runAttempt} from './attempt.js';
import {createStepError, includeEarlierAttempts} from './dispatch_errors.js';
import {
  resolveEngineRequestId,
  type StepProgress,
  type StepRequest,
  type StepResult,
  type TokenSink,
} from './step.js';

const MAX_ATTEMPTS = 4;
const PREFIX_KEY_CHARACTERS = 256;

/**
 * Runs one step until its response is complete. It first acquires a slot at the
 * servers of the version, then makes a first attempt, retries it and resumes
 * interrupted streams. Each attempt is checked against the rules when it is
 * sent.
 *
 * @throws RouterError when no attempt gives a complete response.
 * @example
 * ```ts
 * const result = await runStep(context, step, async (index, text) => {});
 * ```
 */
export async function runStep(
  context: EntryContext,
  step: StepRequest,
  sink: TokenSink,
): Promise<StepResult> {
  const {request} = step;
  const slot = await context.decisions.admission.acquire(step, {
    id: resolveEngineRequestId(step),
    priority: request.priority,
    deadlineAtMs: request.deadlineAtMs,
    signal: request.signal,
  });
  const progress: StepProgress = {
    startedAtMs: performance.now(),
    firstTokenAtMs: undefined,
    tokenCount: 0,
    failures: [],
  };
  let isComplete = false;
  try {
    const result = await runAttempts(context, step, progress, sink);
    isComplete = true;
    return result;
  } finally {
    slot.end(resolveDispatchOutcome(progress, isComplete));
  }
}

async function runAttempts(
  context: EntryContext,
  step: StepRequest,
  progress: StepProgress,
  sink: TokenSink,
): Promise<StepResult> {
  const {engines, retryBudget: retries} = context.decisions;
  const excluded = new Set<string>();
  const {model, version, request} = step;
  const prefixKey = request.prompt.slice(0, PREFIX_KEY_CHARACTERS);
  retries.recordFirstAttempt(performance.now());
  for (;;) {
    const server = engines.pick({model, version, prefixKey, excluded});
    if (server === undefined) throw createStepError(step, progress);
    try {
      return await runAttempt(context, step, server, progress, sink);
    } catch (error) {
      if (!isBackendError(error)) throw includeEarlierAttempts(error, progress);
      progress.failures.push(error);
      excluded.add(server.id);
      recordFailure(context, step, server, error);
    }
    if (!tryAcquireRetry(context, step, progress)) {
      throw createStepError(step, progress);
    }
  }
}

// Takes one retry from the budget if another attempt is possible. Generations
// count as idempotent: a repeated run has a cost but no other effect.
function tryAcquireRetry(
  context: EntryContext,
  step: StepRequest,
  progress: StepProgress,
): boolean {
  const {request} = step;
  if (request.signal.aborted) return false;
  const refusal = findRetryRefusal({
    execution: progress.failures.at(-1)?.execution ?? 'notRun',
    isIdempotent: true,
    attemptCount: progress.failures.length,
    maxAttempts: MAX_ATTEMPTS,
    remainingMs: request.deadlineAtMs - performance.now(),
    expectedMs: 0,
  });
  return (
    refusal === undefined &&
    context.decisions.retryBudget.tryTake(performance.now())
  );
}

function resolveDispatchOutcome(
  progress: StepProgress,
  isComplete: boolean,
): DispatchOutcome | undefined {
  const {startedAtMs, firstTokenAtMs, failures} = progress;
  const wasRefused = failures.some(failure => failure.code === 'full');
  if (!isComplete && !wasRefused) return undefined;
  const endedAtMs = performance.now();
  return {
    serviceMs: endedAtMs - startedAtMs,
    firstTokenMs: (firstTokenAtMs ?? endedAtMs) - startedAtMs,
    wasRefused,
  };
}

function recordFailure(
  context: EntryContext,
  step: StepRequest,
  server: PickedServer,
  error: BackendError,
): void {
  if (error.code === 'draining') {
    context.backends.recordDraining(server.id);
    context.decisions.engines.markLeaving(server.id, 'server');
  }
  context.metrics.count('attempt_failures_total', {phase: error.phase});
  context.logger.warn('attempt_failed', {
    requestId: step.request.requestId,
    server: server.id,
    version: formatModelVersion(step),
    phase: error.phase,
    failure: error.failure,
    code: error.code,
  });
}
