import type {ModelOption, EstimatedPlan} from './model_option.js';
import type {CheckBin, QualityModel} from './quality_model.js';

/** What the plans of a request are made of. */
export interface PlanInputs {
  readonly kind: string;
  readonly options: readonly ModelOption[];
  /** Models that may follow each other, cheapest first. */
  readonly cascadeModels: readonly string[];
  readonly quality: QualityModel;
  /** Standard errors taken off each estimated quality. */
  readonly caution: number;
}

/**
 * Lists the plans that no mix of two others beats in cost at equal quality,
 * cheapest first.
 *
 * @example
 * ```ts
 * const plans = createPlanTable(inputs);
 * ```
 */
export function createPlanTable(inputs: PlanInputs): readonly EstimatedPlan[] {
  const plans = [...listDirectPlans(inputs), ...listCascadePlans(inputs)];
  plans.sort((a, b) => a.costPerMtok - b.costPerMtok || b.quality - a.quality);
  const hull: EstimatedPlan[] = [];
  for (const plan of plans) {
    const last = hull[hull.length - 1];
    if (last !== undefined && plan.quality <= last.quality) continue;
    while (hull.length >= 2 && isBelowLine(hull, plan)) hull.pop();
    hull.push(plan);
  }
  return hull;
}

function isBelowLine(
  hull: readonly EstimatedPlan[],
  plan: EstimatedPlan,
): boolean {
  const [first, second] = hull.slice(-2);
  const slopeBefore =
    (second.quality - first.quality) * (plan.costPerMtok - second.costPerMtok);
  const slopeAfter =
    (plan.quality - second.quality) * (second.costPerMtok - first.costPerMtok);
  return slopeAfter >= slopeBefore;
}

function listDirectPlans(inputs: PlanInputs): EstimatedPlan[] {
  const {kind, options, quality, caution} = inputs;
  return options.map(option => {
    const {mean, variance} = quality.estimate(kind, option);
    return {
      steps: [option],
      checkThresholds: [],
      costPerMtok: option.costPerMtok,
      quality: mean,
      cautiousQuality: mean - caution * Math.sqrt(variance),
    };
  });
}

function listCascadePlans(inputs: PlanInputs): EstimatedPlan[] {
  const {kind, options, cascadeModels, quality} = inputs;
  const plans: EstimatedPlan[] = [];
  for (const first of options) {
    const position = cascadeModels.indexOf(first.model);
    if (position < 0 || position === cascadeModels.length - 1) continue;
    const bins = quality.estimateCheckBins(kind, first);
    for (const next of options) {
      if (cascadeModels.indexOf(next.model) <= position) continue;
      plans.push(...listThresholds(inputs, first, next, bins));
    }
  }
  return plans;
}

function listThresholds(
  inputs: PlanInputs,
  first: ModelOption,
  next: ModelOption,
  bins: readonly CheckBin[],
): EstimatedPlan[] {
  const {kind, quality, caution} = inputs;
  let keptMean = 0;
  let keptVariance = 0;
  for (const bin of bins) {
    keptMean += bin.probability * bin.quality.mean;
    keptVariance += bin.probability ** 2 * bin.quality.variance;
  }
  let escalatedShare = 0;
  return bins.slice(0, -1).map((bin, index) => {
    const {probability} = bin;
    const escalated = quality.estimateEscalated(kind, next, first, index);
    keptMean += probability * (escalated.mean - bin.quality.mean);
    keptVariance +=
      probability ** 2 * (escalated.variance - bin.quality.variance);
    escalatedShare += probability;
    const error = Math.sqrt(Math.max(0, keptVariance));
    return {
      steps: [first, next],
      checkThresholds: [(index + 1) / bins.length],
      costPerMtok: first.costPerMtok + escalatedShare * next.costPerMtok,
      quality: keptMean,
      cautiousQuality: keptMean - caution * error,
    };
  });
}
