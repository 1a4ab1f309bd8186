import type {ModelVersion} from '@anvilrudder/core';
import type {BackendError} from '@anvilrudder/clients';
import type {GenerateRequest} from './caller_request.js';

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
export interface StepProgress {
  readonly startedAtMs: number;
  firstTokenAtMs: number | undefined;
  tokenCount: number;
  readonly failures: BackendError[];
}

/**
 * The id of a step at the engines. All attempts of a step share it, so that
 * an engine can tell a retry or a resumption from a new request.
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
