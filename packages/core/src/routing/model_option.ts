import type {ModelVersion} from '../types/identity.js';

/** A model version that the rules allow for a request. */
export interface ModelOption extends ModelVersion {
  readonly costPerMtok: number;
  /** Expected quality between 0 and 1 before any rating is known. */
  readonly quality: number;
  /** Share of the model's new work between 0 and 1; 1 without a roll-out. */
  readonly share: number;
  /** Line of the rule file that allows the option. */
  readonly sourceLine: number;
}

/** The versions to run in order and when to go on to the next. */
export interface RoutePlan {
  readonly steps: readonly ModelOption[];
  /**
   * One per step but the last: the answer of the step is final when its
   * check score is at least this value.
   */
  readonly checkThresholds: readonly number[];
}

/** A plan with its expected cost and quality. */
export interface EstimatedPlan extends RoutePlan {
  readonly costPerMtok: number;
  readonly quality: number;
  /** The quality less the standard errors that the weights call for. */
  readonly cautiousQuality: number;
}

/** What the deployment weighs; only the ratio of the two matters. */
export interface DecisionWeights {
  readonly cost: number;
  readonly exposure: number;
}
