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
  type LimitWay,
} from './limits_run.js';

const BASE: LimitScenario = {
  name: 'one entry gets 70%, moving every 30 s',
  skewShare: 0.7,
  shiftMs: 30_000,
  hasChurn: false,
  hasCut: false,
  answerMs: 100,
  limit: {
    organisation: ORGANISATION,
    requestsPerS: 50,
    burst: 25,
    concurrent: 1_000_000,
  },
};

const SCENARIOS: readonly LimitScenario[] = [
  {...BASE, name: 'even traffic', skewShare: 0},
  BASE,
  {...BASE, name: 'moving, entries come and go', hasChurn: true},
  {...BASE, name: 'moving, one entry cut off for 30 s', hasCut: true},
  {
    ...BASE,
    name: 'moving, 40 at once',
    answerMs: 2000,
    limit: {...BASE.limit, concurrent: 40},
  },
];
const DEMANDS = [0.8, 2];
const PRODUCT: LimitWay = 'demand-share';
const WAYS: readonly LimitWay[] = [
  ...(Object.keys(SHARE_POLICIES) as SharePolicyName[]),
  'central',
];
const OVERSHOOT_GOAL = 0.05;

function formatScenario(scenario: LimitScenario, demand: number): string {
  return `${scenario.name}, demand ${demand}`;
}

function run(seed: number): readonly Sample[] {
  return SCENARIOS.flatMap(scenario =>
    DEMANDS.flatMap(demand =>
      WAYS.map(way => ({
        scenario: formatScenario(scenario, demand),
        policy: way,
        metrics: toMetrics({...runLimits(way, scenario, demand, seed)}),
      })),
    ),
  );
}

function checkGoals(read: MetricSummaryReader): readonly GoalResult[] {
  return SCENARIOS.map(scenario => {
    const name = formatScenario(scenario, DEMANDS[DEMANDS.length - 1]);
    const whole = read(name, PRODUCT, 'overshoot');
    const worst = read(name, PRODUCT, 'worstOvershoot');
    const concurrency = read(name, PRODUCT, 'concurrencyOvershoot');
    const largest = Math.max(whole.max, worst.mean, concurrency.mean);
    return {
      goal: `${name}: overshoot at most ${OVERSHOOT_GOAL}, also in the worst 10 s`,
      measured: `${whole.mean.toFixed(4)} over the run, ${worst.mean.toFixed(4)} in the worst 10 s, ${concurrency.mean.toFixed(3)} of requests at once`,
      isMet: largest <= OVERSHOOT_GOAL,
    };
  });
}

/** Overshoot and unfairness of limits held by several entries. */
export const LIMITS: Experiment = {
  name: 'limits',
  description: 'overshoot, unused part and unfairness of limits over entries',
  defaultSeedCount: 10,
  run,
  checkGoals,
};
