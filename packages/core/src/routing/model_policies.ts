import type {ModelOption, EstimatedPlan, RoutePlan} from './model_option.js';

/** Input of a model policy. */
export interface PolicyContext {
  /** Never empty. */
  readonly options: readonly ModelOption[];
  readonly cascadeModels: readonly string[];
  readonly qualityTarget: number;
  /** Hash of the request's key, in [0, 1). */
  readonly unitHash: number;
  /**
   * Sum over earlier requests of the plan's `qualityLowerBound` minus the
   * target, limited to a few requests' worth; 1 is the full quality of one
   * request.
   */
  readonly surplus: number;
  /** `fixed-split`: share of requests for the best model. */
  readonly fixedShare: number;
  /** `fixed-threshold`: lowest check score at which an answer is final. */
  readonly fixedThreshold: number;
  /**
   * Returns the cached or newly built plan table; see {@link createPlanTable}.
   */
  readonly planTable: () => readonly EstimatedPlan[];
}

/** Chooses a plan for a request. */
export type ModelPolicy = (context: PolicyContext) => RoutePlan;

function pickBest(options: readonly ModelOption[]): ModelOption {
  return options.reduce((a, b) => (b.quality > a.quality ? b : a));
}

function pickCheapest(options: readonly ModelOption[]): ModelOption {
  return options.reduce((a, b) => (b.costPerMtok < a.costPerMtok ? b : a));
}

function createDirectPlan(option: ModelOption): RoutePlan {
  return {steps: [option], checkThresholds: []};
}

function pickFixedThreshold(context: PolicyContext): RoutePlan {
  const cheapest = pickCheapest(context.options);
  const best = pickBest(context.options);
  if (cheapest === best) return createDirectPlan(best);
  return {steps: [cheapest, best], checkThresholds: [context.fixedThreshold]};
}

// Of the two plans just below and just above the target, chooses the cheaper
// one whenever the surplus covers its deficit, so that the average quality
// meets the target.
function pickLearntMix(context: PolicyContext): RoutePlan {
  const {qualityTarget, surplus} = context;
  const plans = context.planTable();
  const upperIndex = plans.findIndex(
    plan => plan.qualityLowerBound >= qualityTarget,
  );
  if (upperIndex === 0) return plans[0];
  if (upperIndex < 0) return plans[plans.length - 1];
  const lower = plans[upperIndex - 1];
  const isAffordable = surplus + lower.qualityLowerBound - qualityTarget >= 0;
  return isAffordable ? lower : plans[upperIndex];
}

/** Model policies, by the name used in settings. */
export const MODEL_POLICIES = {
  'always-best': ({options}) => createDirectPlan(pickBest(options)),
  'always-cheapest': ({options}) => createDirectPlan(pickCheapest(options)),
  'fixed-split': ({options, unitHash, fixedShare}) =>
    createDirectPlan(
      unitHash < fixedShare ? pickBest(options) : pickCheapest(options),
    ),
  'fixed-threshold': pickFixedThreshold,
  'learnt-mix': pickLearntMix,
} as const satisfies Record<string, ModelPolicy>;

/** Name of a policy of {@link MODEL_POLICIES}. */
export type ModelPolicyName = keyof typeof MODEL_POLICIES;
