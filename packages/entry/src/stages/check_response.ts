import type {StepResult} from './step.js';

/**
 * Checks the answer of a cascade step that a better model could replace: it
 * must not be empty, and the engine's own confidence, where it gives one,
 * must reach the threshold of the plan.
 *
 * @param threshold Between 0 and 1.
 * @example
 * ```ts
 * passesCheck(result, 0.7); // false: ask the next model
 * ```
 */
export function passesCheck(result: StepResult, threshold: number): boolean {
  if (result.tokenCount === 0) return false;
  return result.confidence === undefined || result.confidence >= threshold;
}
