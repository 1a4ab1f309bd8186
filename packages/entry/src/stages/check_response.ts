import type {StepResult} from './step.js';

/**
 * Checks the response of a cascade step that is not the last: it must not be
 * empty, and the confidence reported by the engine, if any, must reach the
 * threshold of the plan.
 *
 * @param threshold Lowest accepted confidence, between 0 and 1.
 * @example
 * ```ts
 * passesCheck(result, 0.7); // false: run the next step
 * ```
 */
export function passesCheck(result: StepResult, threshold: number): boolean {
  if (result.tokenCount === 0) return false;
  return result.confidence === undefined || result.confidence >= threshold;
}
