import type {ModelVersion} from '../types/identity.js';

/** A model version that the rules allow for a request. */
export interface ModelOption extends ModelVersion {
  readonly costPerMtok: number;
  /**
   * Prior estimate of the quality, between 0 and 1, used until ratings arrive.
   */
  readonly quality: number;
  /**
   * Share of the model's new requests, between 0 and 1; 1 without a rollout.
   */
  readonly share: number;
  /** Number of the line in the rule file that allows the option. */
  readonly sourceLine: number;
}

/** Versions to run in order, and when to escalate to the next one. */
export interface RoutePlan {
  readonly steps: readonly ModelOption[];
  /**
   * For each step but the last, the lowest check score at which the step's
   * answer is final.
   */
  readonly checkThresholds: readonly number[];
}

/** A plan with its expected cost and quality. */
export interface EstimatedPlan extends RoutePlan {
  readonly costPerMtok: number;
  readonly quality: number;
  /**
   * Quality minus a multiple of its standard error (lower confidence bound);
   * the multiple follows from the {@link DecisionWeights}.
   */
  readonly qualityLowerBound: number;
}

/**
 * Weights of cost and of exposure to bad versions in the choice of a model.
 * Only their ratio matters.
 */
export interface DecisionWeights {
  readonly cost: number;
  readonly exposure: number;
}
