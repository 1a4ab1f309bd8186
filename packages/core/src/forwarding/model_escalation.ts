/** What is known when the answer of a smaller model has begun. */
export interface EscalationInput {
  /** The model's own opinion of its answer, from 0 to 100. */
  readonly confidence: number | undefined;
  /** Part of the repeats of the service that is spent, from 0 to 1. */
  readonly usedBudgetShare: number;
  /** Time to the first event that the larger model is expected to take. */
  readonly expectedFirstMs: number;
  /** Time that the rest of the larger model's answer is expected to take. */
  readonly expectedRestMs: number;
  /** Chance that the larger model answers right what the smaller one does not. */
  readonly largerCorrectProbability: number;
  /** What is left of the time that callers expect a first event in. */
  readonly latencyTargetLeftMs: number;
  readonly timeLeftMs: number;
}

/** Value of an answer behind the expected time, against one within it. */
const LATE_VALUE = 0.3;
/** Value of a wrong answer, against a right one. */
const WRONG_VALUE = 0.05;
/** Price of a larger model's run, as a part of the value of its answer. */
const RUN_PRICE = 0.47;
/** Spread of the time to a first event around what is expected, as a ratio. */
const TIME_SPREAD = 0.5;
/** Share of the budget of repeats from which on they count as scarce. */
const SCARCE_SHARE = 0.7;
const FULL_CONFIDENCE = 100;
/** Room for an answer that takes longer than expected. */
const END_MARGIN = 1.25;
/** Chance of a model between the smallest and the largest. */
const MIDDLE_RIGHT_SHARE = 0.65;

/**
 * Decides whether the answer of a smaller model is dropped for that of a
 * larger one: when the larger one's, which may come late and has its price, is
 * worth more than the smaller one's, which is here and may be wrong.
 *
 * @example
 * ```ts
 * shouldEscalate({confidence: 20, usedBudgetShare: 0, expectedFirstMs: 300,
 *   expectedRestMs: 900, largerCorrectProbability: 1, latencyTargetLeftMs: 1500,
 *   timeLeftMs: 10_000}); // true
 * ```
 */
export function shouldEscalate(input: EscalationInput): boolean {
  const {confidence, expectedFirstMs, expectedRestMs} = input;
  const {timeLeftMs, latencyTargetLeftMs} = input;
  if (confidence === undefined) return false;
  const endMs = (expectedFirstMs + expectedRestMs) * END_MARGIN;
  if (endMs > timeLeftMs) return false;
  const isOnTime = latencyTargetLeftMs > 0;
  const small = valueOf(confidence / FULL_CONFIDENCE, isOnTime ? 1 : 0);
  return small < computeLargeValue(input);
}

function valueOf(correctProbability: number, onTimeShare: number): number {
  const quality = correctProbability + (1 - correctProbability) * WRONG_VALUE;
  return quality * (onTimeShare + (1 - onTimeShare) * LATE_VALUE);
}

function computeLargeValue(input: EscalationInput): number {
  const {
    usedBudgetShare,
    expectedFirstMs,
    latencyTargetLeftMs,
    largerCorrectProbability,
  } = input;
  const onTimeShare = estimateOnTimeShare(expectedFirstMs, latencyTargetLeftMs);
  const scarce =
    Math.max(0, usedBudgetShare - SCARCE_SHARE) / (1 - SCARCE_SHARE);
  const value = valueOf(largerCorrectProbability, onTimeShare) - RUN_PRICE;
  return value * (1 - scarce);
}

/** Chance that a first event comes within the goal. */
function estimateOnTimeShare(
  expectedMs: number,
  latencyTargetLeftMs: number,
): number {
  if (latencyTargetLeftMs <= 0) return 0;
  const excess =
    Math.log(Math.max(1, expectedMs) / latencyTargetLeftMs) / TIME_SPREAD;
  return 1 / (1 + Math.exp(2 * excess));
}

/** A model that may follow a smaller one. */
export interface LargerModel {
  readonly model: string;
  readonly correctProbability: number;
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
    correctProbability: index === 0 ? 1 : MIDDLE_RIGHT_SHARE,
  }));
}
