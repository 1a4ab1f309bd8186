/** What is known when the answer of a smaller model has begun. */
export interface EscalationInput {
  /** The model's own opinion of its answer, from 0 to 100. */
  readonly confidence: number | undefined;
  /** Part of the repeats of the service that is spent, from 0 to 1. */
  readonly spentShare: number;
  /** Time to the first event that the larger model is expected to take. */
  readonly expectedFirstMs: number;
  /** What is left of the time that callers expect a first event in. */
  readonly goalLeftMs: number;
  readonly timeLeftMs: number;
}

/** Confidence below which an answer is given up for a larger model's. */
const BASE_THRESHOLD = 50;
/** Expected time over the goal at which no answer is given up any more. */
const HOPELESS_FACTOR = 6;
const SCARCE_SHARE = 0.7;

/**
 * Decides whether the answer of a smaller model is dropped for that of a
 * larger one: the lower its confidence, the longer the larger model may take.
 *
 * @example
 * ```ts
 * shouldEscalate({confidence: 20, spentShare: 0, expectedFirstMs: 300,
 *   goalLeftMs: 1500, timeLeftMs: 10_000}); // true
 * ```
 */
export function shouldEscalate(input: EscalationInput): boolean {
  const {confidence, expectedFirstMs, timeLeftMs} = input;
  if (confidence === undefined) return false;
  if (expectedFirstMs > timeLeftMs) return false;
  return confidence < computeThreshold(input);
}

/** Confidence below which escalating is worth its price at this moment. */
export function computeThreshold(input: EscalationInput): number {
  const {spentShare, expectedFirstMs, goalLeftMs} = input;
  const lateness = Math.max(0, expectedFirstMs / Math.max(1, goalLeftMs) - 1);
  const onTime = Math.max(0, 1 - lateness / HOPELESS_FACTOR);
  const scarce = Math.max(0, spentShare - SCARCE_SHARE) / (1 - SCARCE_SHARE);
  return BASE_THRESHOLD * onTime * (1 - scarce);
}

/**
 * The model that follows a smaller one. Models between the two rarely answer
 * what the smallest could not, and cost a further run.
 */
export function findLargerModel(
  models: readonly string[],
  model: string,
): string | undefined {
  const largest = models.at(-1);
  return largest === model ? undefined : largest;
}
