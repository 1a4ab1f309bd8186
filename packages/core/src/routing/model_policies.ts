import type {ModelOption, EstimatedPlan, RoutePlan} from './model_option.js';

/** What a policy picks from. */
export interface PickContext {
  /** Never empty. */
  readonly options: readonly ModelOption[];
  readonly cascadeModels: readonly string[];
  readonly qualityTarget: number;
  /** Number in [0, 1) that is stable for the request. */
  readonly unit: number;
  /** Quality served above the target so far, in requests. */
  readonly surplus: number;
  /** Parts of the fixed policies. */
  readonly fixedShare: number;
  readonly fixedThreshold: number;
  /** Builds or reads the table of plans worth taking. */
  readonly planTable: () => readonly EstimatedPlan[];
}

/** Picks a plan for a request. */
export type ModelPolicy = (context: PickContext) => RoutePlan;

function pickBest(options: readonly ModelOption[]): ModelOption {
  return options.reduce((a, b) => (b.quality > a.quality ? b : a));
}

function pickCheapest(options: readonly ModelOption[]): ModelOption {
  return options.reduce((a, b) => (b.costPerMtok < a.costPerMtok ? b : a));
}

function createDirectPlan(option: ModelOption): RoutePlan {
  return {steps: [option], checkThresholds: []};
}

function pickFixedThreshold(context: PickContext): RoutePlan {
  const cheapest = pickCheapest(context.options);
  const best = pickBest(context.options);
  if (cheapest === best) return createDirectPlan(best);
  return {steps: [cheapest, best], checkThresholds: [context.fixedThreshold]};
}

// Takes the cheaper neighbour of the target whenever the quality served so
// far can afford it, so that the average meets the target.
function pickLearntMix(context: PickContext): RoutePlan {
  const {qualityTarget, surplus} = context;
  const plans = context.planTable();
  const upperIndex = plans.findIndex(
    plan => plan.cautiousQuality >= qualityTarget,
  );
  if (upperIndex === 0) return plans[0];
  if (upperIndex < 0) return plans[plans.length - 1];
  const lower = plans[upperIndex - 1];
  const isAffordable = surplus + lower.cautiousQuality - qualityTarget >= 0;
  return isAffordable ? lower : plans[upperIndex];
}

/** The policies that settings can name. */
export const MODEL_POLICIES = {
  'always-best': ({options}) => createDirectPlan(pickBest(options)),
  'always-cheapest': ({options}) => createDirectPlan(pickCheapest(options)),
  'fixed-split': ({options, unit, fixedShare}) =>
    createDirectPlan(
      unit < fixedShare ? pickBest(options) : pickCheapest(options),
    ),
  'fixed-threshold': pickFixedThreshold,
  'learnt-mix': pickLearntMix,
} as const satisfies Record<string, ModelPolicy>;

/** Name of a policy of {@link MODEL_POLICIES}. */
export type ModelPolicyName = keyof typeof MODEL_POLICIES;
