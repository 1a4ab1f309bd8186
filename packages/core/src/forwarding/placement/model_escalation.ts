/** Input of the decision made when the answer of a smaller model begins. */
export interface EscalationInput {
  /** The model's confidence in its answer, from 0 to 100. */
  readonly confidence: number | undefined;
  /** Share of the service's retry budget that is used, from 0 to 1. */
  readonly usedBudgetShare: number;
  /**
   * Current price of capacity: 0 without scarcity, Infinity if no answer is
   * worth an escalation.
   */
  readonly capacityPrice: number;
  /** Expected time to the first event of the larger model. */
  readonly expectedFirstMs: number;
  /** Expected time from there to the end of the larger model's answer. */
  readonly expectedRestMs: number;
  /** Probability that the larger model is correct where the smaller is not. */
  readonly largerCorrectProbability: number;
  /** Time left to meet the latency target; negative once it is missed. */
  readonly latencyTargetLeftMs: number;
  /** Time left until the time limit of the request. */
  readonly timeLeftMs: number;
}

/** Value of a late answer relative to one within the latency target. */
const LATE_ANSWER_VALUE = 0.3;
/** Value of a wrong answer relative to a correct one. */
const WRONG_ANSWER_VALUE = 0.05;
/** Cost of running the larger model, relative to the value of its answer. */
const LARGER_MODEL_COST = 0.47;
/** Spread of the logarithm of the time to a first event, actual to expected. */
const LATENCY_SPREAD = 0.5;
/** Used share of the retry budget above which escalations lose value. */
const SCARCE_BUDGET_SHARE = 0.7;
const FULL_CONFIDENCE = 100;
/** Safety factor for answers that take longer than expected. */
const DURATION_MARGIN = 1.25;
/** Probability that a model of intermediate size answers correctly. */
const MIDDLE_CORRECT_PROBABILITY = 0.65;

/**
 * Decides whether to discard the answer of a smaller model and ask a larger
 * one. The expected value of the larger model's answer, reduced by its cost and
 * by the risk that it is late, has to exceed the value of the smaller model's
 * answer, which is available now but may be wrong.
 *
 * @example
 * ```ts
 * shouldEscalate({confidence: 20, usedBudgetShare: 0, capacityPrice: 0,
 *   expectedFirstMs: 300, expectedRestMs: 900, largerCorrectProbability: 1,
 *   latencyTargetLeftMs: 1500, timeLeftMs: 10_000}); // true
 * ```
 */
export function shouldEscalate(input: EscalationInput): boolean {
  const {confidence, capacityPrice, expectedFirstMs, expectedRestMs} = input;
  const {timeLeftMs, latencyTargetLeftMs} = input;
  if (confidence === undefined || capacityPrice === Infinity) return false;
  const endMs = (expectedFirstMs + expectedRestMs) * DURATION_MARGIN;
  if (endMs > timeLeftMs) return false;
  const isOnTime = latencyTargetLeftMs > 0;
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
  const {
    usedBudgetShare,
    capacityPrice,
    expectedFirstMs,
    latencyTargetLeftMs,
    largerCorrectProbability,
  } = input;
  const onTimeProbability = estimateOnTimeProbability(
    expectedFirstMs,
    latencyTargetLeftMs,
  );
  const scarcity =
    Math.max(0, usedBudgetShare - SCARCE_BUDGET_SHARE) /
    (1 - SCARCE_BUDGET_SHARE);
  const value =
    computeAnswerValue(largerCorrectProbability, onTimeProbability) -
    LARGER_MODEL_COST * (1 + capacityPrice);
  return value * (1 - scarcity);
}

/** Estimates the probability that a first event meets the latency target. */
function estimateOnTimeProbability(
  expectedMs: number,
  latencyTargetLeftMs: number,
): number {
  if (latencyTargetLeftMs <= 0) return 0;
  const excess =
    Math.log(Math.max(1, expectedMs) / latencyTargetLeftMs) / LATENCY_SPREAD;
  return 1 / (1 + Math.exp(2 * excess));
}

/** A model to which a smaller one may be escalated. */
export interface LargerModel {
  readonly model: string;
  readonly correctProbability: number;
}

/**
 * Lists the models to which a smaller one may be escalated, best first. Models
 * of intermediate size serve where the largest one would take too long.
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
    correctProbability: index === 0 ? 1 : MIDDLE_CORRECT_PROBABILITY,
  }));
}
