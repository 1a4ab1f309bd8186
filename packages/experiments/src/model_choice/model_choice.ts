import {
  MODEL_POLICIES,
  createPlanTable,
  type ModelChooserOptions,
  type ModelPolicyName,
  type EstimatedPlan,
} from '@anvilrudder/core';
import {
  toMetrics,
  type Experiment,
  type GoalResult,
  type Sample,
  type MetricSummaryReader,
} from '../harness/experiment.js';
import {TrueQuality} from './answer_model.js';
import {
  listVersions,
  runChoice,
  type Scenario,
  type Segment,
} from './choice_run.js';
import {DEPLOYMENTS, type Deployment} from './deployments.js';

const BASE: Scenario = {
  name: 'plain',
  ratingShare: 0.05,
  ratingDelayMeanMs: 60_000,
  ratingLossShare: 0.2,
  priorError: 0.06,
  driftSkill: 0,
  outageShare: 0,
};

const SCENARIOS: readonly Scenario[] = [
  BASE,
  {...BASE, name: 'drift', driftSkill: -0.8},
  {
    ...BASE,
    name: 'sparse',
    ratingShare: 0.01,
    ratingDelayMeanMs: 300_000,
    ratingLossShare: 0.5,
  },
  {...BASE, name: 'outage', outageShare: 0.05},
];

const ORACLE_OPTIONS: ModelChooserOptions = {
  maxCaution: 0,
  explorationShare: 0,
};
const COST_GOAL_RATIO = 1.1;
const SHORTFALL_GOAL = 0.01;
const POLICIES = Object.keys(MODEL_POLICIES) as ModelPolicyName[];

// Returns the least cost of a mean quality when the true distributions are known,
// interpolated between the plans of the convex hull.
function findLeastCost(
  plans: readonly EstimatedPlan[],
  quality: number,
): number {
  const index = plans.findIndex(plan => plan.quality >= quality);
  if (index === 0) return plans[0].costPerMtok;
  if (index < 0) return plans[plans.length - 1].costPerMtok;
  const [low, high] = [plans[index - 1], plans[index]];
  const fraction = (quality - low.quality) / (high.quality - low.quality);
  return low.costPerMtok + fraction * (high.costPerMtok - low.costPerMtok);
}

const hullCache = new WeakMap<
  TrueQuality,
  Map<string, readonly EstimatedPlan[]>
>();

function resolveHull(
  deployment: Deployment,
  trueQuality: TrueQuality,
  kind: string,
): readonly EstimatedPlan[] {
  const byKind = hullCache.get(trueQuality) ?? new Map();
  hullCache.set(trueQuality, byKind);
  const hull = byKind.get(kind) ?? createHull(deployment, trueQuality, kind);
  byKind.set(kind, hull);
  return hull;
}

function createHull(
  deployment: Deployment,
  trueQuality: TrueQuality,
  kind: string,
): readonly EstimatedPlan[] {
  return createPlanTable({
    kind,
    options: deployment.versions.map(version => ({
      ...version,
      quality: 0,
      share: 1,
      sourceLine: 1,
    })),
    cascadeModels: deployment.versions.map(({model}) => model),
    quality: trueQuality,
    caution: 0,
  });
}

function measureSegments(
  deployment: Deployment,
  trueQualities: readonly TrueQuality[],
  segments: readonly Segment[],
) {
  let cost = 0;
  let requestCount = 0;
  let leastCostAtAchieved = 0;
  let leastCostAtTarget = 0;
  let shortfall = 0;
  let surplus = 0;
  for (const segment of segments) {
    const count = segment.requestCount;
    const achieved = segment.qualitySum / count;
    const {kind, qualityTarget} = segment.kind;
    const hull = resolveHull(deployment, trueQualities[segment.phase], kind);
    cost += segment.costSum;
    requestCount += count;
    leastCostAtAchieved += count * findLeastCost(hull, achieved);
    leastCostAtTarget += count * findLeastCost(hull, qualityTarget);
    shortfall += count * Math.max(0, qualityTarget - achieved);
    surplus += count * Math.max(0, achieved - qualityTarget);
  }
  return toMetrics({
    costPerMtok: cost / requestCount,
    costRatioAtTarget: cost / leastCostAtTarget,
    costRatioAtEqualQuality: cost / leastCostAtAchieved,
    qualityShortfall: shortfall / requestCount,
    qualitySurplus: surplus / requestCount,
  });
}

const trueQualityCache = new Map<string, readonly TrueQuality[]>();

function resolveTrueQualities(deployment: Deployment, scenario: Scenario) {
  const key = `${deployment.name}/${scenario.driftSkill}`;
  const cached = trueQualityCache.get(key);
  if (cached) return cached;
  const trueQualities = [0, 1].map(phase =>
    TrueQuality.create({
      ...deployment,
      versions: listVersions(deployment, scenario, phase),
    }),
  );
  trueQualityCache.set(key, trueQualities);
  return trueQualities;
}

function run(seed: number): readonly Sample[] {
  return DEPLOYMENTS.flatMap(deployment =>
    SCENARIOS.flatMap(scenario => {
      const trueQualities = resolveTrueQualities(deployment, scenario);
      const {weights} = deployment;
      const name = `${deployment.name} ${scenario.name}`;
      const inputs = {deployment, scenario, seed, trueQualities};
      const createSample = (
        policy: string,
        chooserOptions: ModelChooserOptions,
        isOracle: boolean,
      ) => ({
        scenario: name,
        policy,
        metrics: measureSegments(
          deployment,
          trueQualities,
          runChoice({...inputs, chooserOptions, isOracle}),
        ),
      });
      return [
        ...POLICIES.map(policy =>
          createSample(policy, {policy, weights}, false),
        ),
        createSample('oracle', ORACLE_OPTIONS, true),
      ];
    }),
  );
}

function checkGoals(read: MetricSummaryReader): readonly GoalResult[] {
  return DEPLOYMENTS.flatMap(({name}) =>
    SCENARIOS.map(scenario => {
      const key = `${name} ${scenario.name}`;
      const ratio = read(key, 'learnt-mix', 'costRatioAtEqualQuality');
      const shortfall = read(key, 'learnt-mix', 'qualityShortfall');
      return {
        goal: `${key}: cost at most ${COST_GOAL_RATIO} of the oracle's at equal quality, at most ${SHORTFALL_GOAL} below target`,
        measured: `${ratio.mean.toFixed(3)} (${ratio.min.toFixed(3)} to ${ratio.max.toFixed(3)}), shortfall ${shortfall.mean.toFixed(4)}`,
        isMet:
          ratio.mean <= COST_GOAL_RATIO && shortfall.mean <= SHORTFALL_GOAL,
      };
    }),
  );
}

/** Measures the cost of reaching the quality target for each model policy. */
export const MODEL_CHOICE: Experiment = {
  name: 'model-choice',
  description: 'cost of reaching the quality target, by model policy',
  defaultSeedCount: 10,
  run,
  checkGoals,
};
