import type {ModelVersion} from '@anvilrudder/core';
import type {BackendError} from '@anvilrudder/clients';
import type {GenerateRequest} from './caller_request.js';

/** One step of a plan: a model version to run for a request. */
export interface StepRequest extends ModelVersion {
  readonly request: GenerateRequest;
  /** Position of the step in the plan, from 0. */
  readonly stepIndex: number;
}

/** The result of a step whose response is complete. */
export interface StepResult {
  readonly tokenCount: number;
  readonly promptTokens: number;
  readonly cachedPromptTokens: number;
  /** The confidence reported by the engine, between 0 and 1, if any. */
  readonly confidence: number | undefined;
  /** The request id that was sent to the engine. */
  readonly engineRequestId: string;
}

/** Receives the tokens of a step in order, each exactly once. */
export type TokenSink = (index: number, text: string) => Promise<void>;

/** The state of a step across its attempts. */
export interface StepProgress {
  /** Monotonic time, in milliseconds. */
  readonly startedAtMs: number;
  firstTokenAtMs: number | undefined;
  /** Tokens passed to the sink so far, over all attempts. */
  tokenCount: number;
  readonly failures: BackendError[];
}

/**
 * Returns the request id of a step that is sent to engines. All attempts of a
 * step share it, so that an engine can tell a retry or a resumption from a new
 * request.
 *
 * @example
 * ```ts
 * resolveEngineRequestId({...step, stepIndex: 1}); // 'r-7.1'
 * ```
 */
export function resolveEngineRequestId({
  request,
  stepIndex,
}: StepRequest): string {
  return stepIndex === 0
    ? request.requestId
    : `${request.requestId}.${stepIndex}`;
}
