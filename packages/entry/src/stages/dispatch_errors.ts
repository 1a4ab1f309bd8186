import {
  RouterError,
  formatModelVersion,
  isRouterError,
} from '@anvilrudder/core';
import {mayHaveRun} from '../backends/pre_send_check.js';
import type {StepProgress, StepRequest} from './step.js';

const NO_BACKEND_RETRY_MS = 2000;

/**
 * Converts an error that ends a request, such as a refusal by the rules, into
 * one that also says whether earlier attempts may have been executed or have
 * streamed tokens already.
 *
 * @returns `error` itself when it is not a RouterError.
 * @example
 * ```ts
 * throw includeEarlierAttempts(error, progress);
 * ```
 */
export function includeEarlierAttempts(
  error: unknown,
  progress: StepProgress,
): unknown {
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

/**
 * Creates the error of a step whose attempts gave no complete response.
 *
 * @example
 * ```ts
 * throw createStepError(step, progress);
 * ```
 */
export function createStepError(
  step: StepRequest,
  progress: StepProgress,
): RouterError {
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
  if (cause.execution === 'ran') {
    return RouterError.create('The backend server reported a failure.', {
      code: 'backend_failed',
      cause,
    });
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
