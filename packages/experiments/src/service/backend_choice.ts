import {SERVER_POLICIES, type ServerPolicyName} from '@anvilrudder/core';
import {
  toMetrics,
  type Experiment,
  type GoalResult,
  type Sample,
  type MetricSummaryReader,
} from '../harness/experiment.js';
import {summarizeFirstTokens} from './service_result.js';
import {runService} from './service_run.js';
import {DEFAULT_CONFIG, type Fault} from './service_config.js';
import {PRODUCT_POLICY} from './service_policies.js';

interface ChoiceScenario {
  readonly name: string;
  readonly load: number;
  readonly faults: readonly Fault[];
}

const SLOW_RELATIVE_SPEED = 0.25;
const SLOW_ENGINE: Fault = {
  atMs: 0,
  apply: ({engines}) => {
    engines[3].relativeSpeed = SLOW_RELATIVE_SPEED;
  },
};

const SCENARIOS: readonly ChoiceScenario[] = [
  {name: 'load 0.5', load: 0.5, faults: []},
  {name: 'load 0.85', load: 0.85, faults: []},
  {name: 'load 0.7, one engine at a quarter', load: 0.7, faults: [SLOW_ENGINE]},
];
const POLICIES = Object.keys(SERVER_POLICIES) as ServerPolicyName[];
const PRODUCT: ServerPolicyName = 'prefix-bounded';

function run(seed: number): readonly Sample[] {
  return SCENARIOS.flatMap(({name, load, faults}) =>
    POLICIES.map(serverPolicy => {
      const policy = {...PRODUCT_POLICY, serverPolicy};
      const config = {...DEFAULT_CONFIG, loadAt: () => load};
      const result = runService(policy, config, faults, seed);
      return {
        scenario: name,
        policy: serverPolicy,
        metrics: toMetrics({
          ...summarizeFirstTokens(result),
          prefixHitShare: result.prefixHitShare,
          crossingShare: result.crossingShare,
          goodShare: result.goodCount / result.offeredCount,
        }),
      };
    }),
  );
}

function checkGoals(read: MetricSummaryReader): readonly GoalResult[] {
  return SCENARIOS.map(({name}) => {
    const product = read(name, PRODUCT, 'firstTokenP95Ms').mean;
    const others = POLICIES.filter(policy => policy !== PRODUCT).map(
      policy => read(name, policy, 'firstTokenP95Ms').mean,
    );
    const best = Math.min(...others);
    return {
      goal: `${name}: p95 time to first token no worse than the best baseline's`,
      measured: `${product.toFixed(0)} against ${best.toFixed(0)} ms`,
      isMet: product <= best,
    };
  });
}

/**
 * Measures the time to first token, the prefix cache hits and the dispatches to
 * other failure domains for each server policy.
 */
export const BACKEND_CHOICE: Experiment = {
  name: 'backend-choice',
  description:
    'time to first token, prefix cache hits and dispatches to other failure domains, by server policy',
  defaultSeedCount: 10,
  run,
  checkGoals,
};
