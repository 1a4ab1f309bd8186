/** What is known when the answer of a smaller model has begun. */
export interface EscalationInput {
  /** The model's own opinion of its answer, from 0 to 100. */
  readonly confidence: number | undefined;
  /** Part of the repeats of the service that is spent, from 0 to 1. */
  readonly spentShare: number;
  /** Time to the first event that the larger model is expected to take. */
  readonly expectedFirstMs: number;
  /** Time that the rest of the larger model's answer is expected to take. */
  readonly expectedRestMs: number;
  /** Chance that the larger model answers right what the smaller one does not. */
  readonly largeRightShare: number;
  /** What is left of the time that callers expect a first event in. */
  readonly goalLeftMs: number;
  readonly timeLeftMs: number;
}

/** Value of an answer behind the expected time, against one within it. */
const LATE_ANSWER_VALUE = 0.3;
/** Value of a wrong answer, against a right one. */
const WRONG_ANSWER_VALUE = 0.05;
/** Price of a larger model's run, as a part of the value of its answer. */
const LARGER_MODEL_COST = 0.47;
/** Spread of the time to a first event around what is expected, as a ratio. */
const LATENCY_SPREAD = 0.5;
/** Share of the budget of repeats from which on they count as scarce. */
const SCARCE_BUDGET_SHARE = 0.7;
const FULL_CONFIDENCE = 100;
/** Room for an answer that takes longer than expected. */
const DURATION_MARGIN = 1.25;
/** Chance of a model between the smallest and the largest. */
const MIDDLE_CORRECT_PROBABILITY = 0.65;

/**
 * Decides whether the answer of a smaller model is dropped for that of a
 * larger one: when the larger one's, which may come late and has its price, is
 * worth more than the smaller one's, which is here and may be wrong.
 *
 * @example
 * ```ts
 * shouldEscalate({confidence: 20, spentShare: 0, expectedFirstMs: 300,
 *   expectedRestMs: 900, largeRightShare: 1, goalLeftMs: 1500,
 *   timeLeftMs: 10_000}); // true
 * ```
 */
export function shouldEscalate(input: EscalationInput): boolean {
  const {confidence, expectedFirstMs, expectedRestMs} = input;
  const {timeLeftMs, goalLeftMs} = input;
  if (confidence === undefined) return false;
  const endMs = (expectedFirstMs + expectedRestMs) * DURATION_MARGIN;
  if (endMs > timeLeftMs) return false;
  const isOnTime = goalLeftMs > 0;
  const smallerValue = computeAnswerValue(
    confidence / FULL_CONFIDENCE,
    isOnTime ? 1 : 0,
  );
  return smallerValue < computeLargerValue(input);
}

function computeAnswerValue(
  correctProbability: number,
  onTimeProbability: number,
): number {
  const quality =
    correctProbability + (1 - correctProbability) * WRONG_ANSWER_VALUE;
  return (
    quality * (onTimeProbability + (1 - onTimeProbability) * LATE_ANSWER_VALUE)
  );
}

function computeLargerValue(input: EscalationInput): number {
  const {spentShare, expectedFirstMs, goalLeftMs, largeRightShare} = input;
  const onTimeProbability = estimateOnTimeProbability(
    expectedFirstMs,
    goalLeftMs,
  );
  const scarcity =
    Math.max(0, spentShare - SCARCE_BUDGET_SHARE) / (1 - SCARCE_BUDGET_SHARE);
  const value =
    computeAnswerValue(largeRightShare, onTimeProbability) - LARGER_MODEL_COST;
  return value * (1 - scarcity);
}

/** Chance that a first event comes within the goal. */
function estimateOnTimeProbability(
  expectedMs: number,
  goalLeftMs: number,
): number {
  if (goalLeftMs <= 0) return 0;
  const excess =
    Math.log(Math.max(1, expectedMs) / goalLeftMs) / LATENCY_SPREAD;
  return 1 / (1 + Math.exp(2 * excess));
}

/** A model that may follow a smaller one. */
export interface LargerModel {
  readonly model: string;
  readonly rightShare: number;
}

/**
 * The models that may follow a smaller one, best first. Those between the
 * smallest and the largest come in where the largest would take too long.
 *
 * @example
 * ```ts
 * listLargerModels(['s', 'm', 'l'], 's').map(({model}) => model); // ['l', 'm']
 * ```
 */
export function listLargerModels(
  models: readonly string[],
  model: string,
): readonly LargerModel[] {
  const larger = models.slice(models.indexOf(model) + 1).reverse();
  return larger.map((name, index) => ({
    model: name,
    rightShare: index === 0 ? 1 : MIDDLE_CORRECT_PROBABILITY,
  }));
}
