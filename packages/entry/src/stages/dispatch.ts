import {
  RouterError,
  formatModelVersion,
  isRouterError,
  type ModelVersion,
} from '@anvilrudder/core';
import {
  createBackendError,
  isBackendError,
  type BackendError,
  type DoneEvent,
} from '@anvilrudder/platform';
import type {BackendView} from '../backends/backend_directory.js';
import {createSendGate, mayHaveRun} from '../backends/send_gate.js';
import type {EntryContext} from '../entry_context.js';
import type {GenerateRequest} from './caller_request.js';
import {assertDispatchAllowed} from './check_rules.js';

const MAX_ATTEMPTS = 4;
const NO_BACKEND_RETRY_MS = 2000;

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
  tokenCount: number;
  readonly failures: BackendError[];
}

/**
 * Runs one step to its whole answer: attempts, retries, and resumptions of a
 * broken stream, each of them allowed by the rules at its own moment.
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
  const progress: Progress = {tokenCount: 0, failures: []};
  const avoided = new Set<string>();
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const server = chooseServer(context, step, avoided);
    if (server === undefined) break;
    try {
      return await runAttempt(context, step, server, progress, sink);
    } catch (error) {
      if (!isBackendError(error)) throw explainRefusal(error, progress);
      progress.failures.push(error);
      avoided.add(server.host.host);
      noteFailure(context, step, server, error);
    }
    if (step.request.signal.aborted) break;
  }
  throw createFinalError(step, progress);
}

async function runAttempt(
  context: EntryContext,
  step: StepRequest,
  server: BackendView,
  progress: Progress,
  sink: TokenSink,
): Promise<StepResult> {
  const {request, model, version} = step;
  const {organisation, kind} = request;
  const closeRequest = context.backends.openRequest(server.host.host);
  const question = {organisation, kind, model, version};
  const gate = createSendGate(() =>
    assertDispatchAllowed(context.keeper, question),
  );
  const engineRequestId = resolveEngineRequestId(step);
  try {
    const events = context.engines.generate(
      server.host.address,
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
      if (event.kind === 'done') return createResult(event, engineRequestId);
      progress.tokenCount = event.index + 1;
      await sink(event.index, event.text);
    }
    throw createBackendError({phase: 'streaming', failure: 'incomplete'});
  } catch (error) {
    gate.rethrow(error);
    throw error;
  } finally {
    closeRequest();
  }
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

// Fewest open requests of this entry first, then the shortest reported queue.
function chooseServer(
  context: EntryContext,
  step: StepRequest,
  avoided: ReadonlySet<string>,
): BackendView | undefined {
  const candidates = context.backends
    .listServing(step)
    .filter(view => !avoided.has(view.host.host));
  return [...candidates].sort(
    (a, b) => a.inFlight - b.inFlight || reportedWork(a) - reportedWork(b),
  )[0];
}

function reportedWork(view: BackendView): number {
  return (view.load?.running ?? 0) + (view.load?.queued ?? 0);
}

function noteFailure(
  context: EntryContext,
  step: StepRequest,
  server: BackendView,
  error: BackendError,
): void {
  if (error.code === 'draining') {
    context.backends.recordDraining(server.host.host);
  }
  context.metrics.count('attempt_failures_total', {phase: error.phase});
  context.logger.warn('attempt_failed', {
    requestId: step.request.requestId,
    server: server.host.host,
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
