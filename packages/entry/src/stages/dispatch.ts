import {
  RouterError,
  findRetryRefusal,
  formatModelVersion,
  isRouterError,
  type AttemptOutcome,
  type DispatchOutcome,
  type ModelVersion,
} from '@anvilrudder/core';
import {
  createBackendError,
  isBackendError,
  type BackendError,
  type DoneEvent,
} from '@anvilrudder/platform';
import {createSendGate, mayHaveRun} from '../backends/send_gate.js';
import type {PickedServer} from '../decisions/engine_pool.js';
import {PaceMeter} from '../decisions/pace_meter.js';
import type {EntryContext} from '../entry_context.js';
import type {GenerateRequest} from './caller_request.js';
import {assertDispatchAllowed, createWithdrawnError} from './check_rules.js';

const MAX_ATTEMPTS = 4;
const NO_BACKEND_RETRY_MS = 2000;
const PREFIX_KEY_CHARACTERS = 256;

/** One model version of a plan, to be run for a request. */
export interface StepRequest extends ModelVersion {
  readonly request: GenerateRequest;
  /** Position of the step in the plan, from 0. */
  readonly stepIndex: number;
}

/** The end of a whole answer of one step. */
export interface StepResult {
  readonly tokenCount: number;
  readonly promptTokens: number;
  readonly cachedPromptTokens: number;
  /** The engine's own estimate between 0 and 1, where it gives one. */
  readonly confidence: number | undefined;
  /** The request id that the engine saw. */
  readonly engineRequestId: string;
}

/** Takes the tokens of a step in order, each once. */
export type TokenSink = (index: number, text: string) => Promise<void>;

/** Tokens passed on and attempts failed so far. */
interface Progress {
  readonly startedAtMs: number;
  firstTokenAtMs: number | undefined;
  tokenCount: number;
  readonly failures: BackendError[];
}

/**
 * Runs one step to its whole answer: a place at the servers of the version,
 * then attempts, retries and resumptions of a broken stream, each of them
 * allowed by the rules at its own moment.
 *
 * @throws RouterError when no whole answer can be had.
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
  const place = await context.decisions.admission.acquire(step, {
    id: resolveEngineRequestId(step),
    priority: request.priority,
    deadlineAtMs: request.deadlineAtMs,
    signal: request.signal,
  });
  const progress: Progress = {
    startedAtMs: performance.now(),
    firstTokenAtMs: undefined,
    tokenCount: 0,
    failures: [],
  };
  let isWhole = false;
  try {
    const result = await runAttempts(context, step, progress, sink);
    isWhole = true;
    return result;
  } finally {
    place.end(resolveDispatchOutcome(progress, isWhole));
  }
}

async function runAttempts(
  context: EntryContext,
  step: StepRequest,
  progress: Progress,
  sink: TokenSink,
): Promise<StepResult> {
  const {engines, retries} = context.decisions;
  const excluded = new Set<string>();
  const {model, version, request} = step;
  const prefixKey = request.prompt.slice(0, PREFIX_KEY_CHARACTERS);
  retries.recordFirstAttempt(performance.now());
  for (;;) {
    const server = engines.pick({model, version, prefixKey, excluded});
    if (server === undefined) throw createFinalError(step, progress);
    try {
      return await runAttempt(context, step, server, progress, sink);
    } catch (error) {
      if (!isBackendError(error)) throw explainRefusal(error, progress);
      progress.failures.push(error);
      excluded.add(server.id);
      noteFailure(context, step, server, error);
    }
    if (!mayRetry(context, step, progress)) {
      throw createFinalError(step, progress);
    }
  }
}

// A generation may be repeated: a second run costs, and harms nobody.
function mayRetry(
  context: EntryContext,
  step: StepRequest,
  progress: Progress,
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
    context.decisions.retries.tryTake(performance.now())
  );
}

async function runAttempt(
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
        outcome = {isFailure: false, paceMs: pace.meanMs};
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

function resolveDispatchOutcome(
  progress: Progress,
  isWhole: boolean,
): DispatchOutcome | undefined {
  const {startedAtMs, firstTokenAtMs, failures} = progress;
  const wasRefused = failures.some(failure => failure.code === 'full');
  if (!isWhole && !wasRefused) return undefined;
  const endedAtMs = performance.now();
  return {
    serviceMs: endedAtMs - startedAtMs,
    firstTokenMs: (firstTokenAtMs ?? endedAtMs) - startedAtMs,
    wasRefused,
  };
}

// All attempts of a step share one id, so that an engine can tell a retry or
// a resumption from a new request.
function resolveEngineRequestId({request, stepIndex}: StepRequest): string {
  return stepIndex === 0
    ? request.requestId
    : `${request.requestId}.${stepIndex}`;
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

function noteFailure(
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

// A refusal by the rules ends the request; what earlier attempts may have run
// stays said.
function explainRefusal(error: unknown, progress: Progress): unknown {
  if (!isRouterError(error)) return error;
  const {code, publicMessage, retryAfterMs} = error;
  if (progress.tokenCount > 0) {
    return RouterError.create(
      `The answer broke off after ${progress.tokenCount} tokens and may not be resumed: ${publicMessage}`,
      {code: 'stream_broken', cause: error},
    );
  }
  const execution = mayHaveRun(progress.failures) ? 'unknown' : error.execution;
  return RouterError.create(publicMessage, {
    code,
    retryAfterMs,
    execution,
    cause: error,
  });
}

function createFinalError(step: StepRequest, progress: Progress): RouterError {
  const {failures, tokenCount} = progress;
  const execution = mayHaveRun(failures) ? 'unknown' : 'notRun';
  const cause = failures.at(-1);
  const retryAfterMs = cause?.retryAfterMs ?? NO_BACKEND_RETRY_MS;
  if (performance.now() >= step.request.deadlineAtMs) {
    return RouterError.create('The deadline passed.', {
      code: 'deadline_exceeded',
      execution,
      retryAfterMs,
      cause,
    });
  }
  if (cause === undefined) {
    return RouterError.create(
      `No backend server in service has ${formatModelVersion(step)}.`,
      {code: 'no_backend', retryAfterMs},
    );
  }
  return RouterError.create(
    `No whole answer after ${tokenCount} tokens: ${cause.failure}.`,
    {
      code: execution === 'unknown' ? 'stream_broken' : 'backend_refused',
      execution,
      retryAfterMs,
      cause,
    },
  );
}
