import {SHARE_POLICIES, type SharePolicyName} from '@anvilrudder/core';
import {
  toMetrics,
  type Experiment,
  type GoalResult,
  type Sample,
  type MetricSummaryReader,
} from '../harness/experiment.js';
import {
  ORGANISATION,
  runLimits,
  type LimitScenario,
  type LimitPolicy,
} from './limits_run.js';

const BASE: LimitScenario = {
  name: 'one entry gets 70%, moving every 30 s',
  hotEntryShare: 0.7,
  hotEntryPeriodMs: 30_000,
  hasChurn: false,
  hasPartition: false,
  answerMs: 100,
  limit: {
    organisation: ORGANISATION,
    requestsPerS: 50,
    burst: 25,
    concurrent: 1_000_000,
  },
};

const SCENARIOS: readonly LimitScenario[] = [
  {...BASE, name: 'even traffic', hotEntryShare: 0},
  BASE,
  {...BASE, name: 'moving, entries come and go', hasChurn: true},
  {...BASE, name: 'moving, one entry cut off for 30 s', hasPartition: true},
  {
    ...BASE,
    name: 'moving, 40 at once',
    answerMs: 2000,
    limit: {...BASE.limit, concurrent: 40},
  },
];
const DEMAND_RATIOS = [0.8, 2];
const PRODUCT: LimitPolicy = 'demand-share';
const POLICIES: readonly LimitPolicy[] = [
  ...(Object.keys(SHARE_POLICIES) as SharePolicyName[]),
  'central',
];
const OVERSHOOT_GOAL = 0.05;

function formatScenario(scenario: LimitScenario, demandRatio: number): string {
  return `${scenario.name}, demand ${demandRatio}`;
}

function run(seed: number): readonly Sample[] {
  return SCENARIOS.flatMap(scenario =>
    DEMAND_RATIOS.flatMap(demandRatio =>
      POLICIES.map(policy => ({
        scenario: formatScenario(scenario, demandRatio),
        policy,
        metrics: toMetrics({...runLimits(policy, scenario, demandRatio, seed)}),
      })),
    ),
  );
}

function checkGoals(read: MetricSummaryReader): readonly GoalResult[] {
  return SCENARIOS.map(scenario => {
    const name = formatScenario(
      scenario,
      DEMAND_RATIOS[DEMAND_RATIOS.length - 1],
    );
    const overall = read(name, PRODUCT, 'overshoot');
    const worst = read(name, PRODUCT, 'worstOvershoot');
    const concurrency = read(name, PRODUCT, 'concurrencyOvershoot');
    const largest = Math.max(overall.max, worst.mean, concurrency.mean);
    return {
      goal: `${name}: overshoot at most ${OVERSHOOT_GOAL}, including the worst 10 s`,
      measured: `${overall.mean.toFixed(4)} over the run, ${worst.mean.toFixed(4)} in the worst 10 s, ${concurrency.mean.toFixed(3)} for concurrent requests`,
      isMet: largest <= OVERSHOOT_GOAL,
    };
  });
}

/** Measures the overshoot and unfairness of limits enforced by several entries. */
export const LIMITS: Experiment = {
  name: 'limits',
  description:
    'overshoot, unused share and unfairness of limits across entries',
  defaultSeedCount: 10,
  run,
  checkGoals,
};
