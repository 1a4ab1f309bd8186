import {
  toMetrics,
  type Experiment,
  type GoalResult,
  type Sample,
  type MetricSummaryReader,
} from '../harness/experiment.js';
import {computeGoodputPerS, summarizeFirstTokens} from './service_result.js';
import {runService} from './service_run.js';
import {DEFAULT_CONFIG} from './service_config.js';
import {PRODUCT_POLICY, SERVICE_POLICIES} from './service_policies.js';

const LOADS = [0.5, 0.75, 1, 1.25, 1.5, 2];
const WARM_UP_MS = 10_000;
const GOODPUT_GOAL_SHARE = 0.95;

function formatScenario(load: number): string {
  return `load ${load}`;
}

function run(seed: number): readonly Sample[] {
  return LOADS.flatMap(load =>
    SERVICE_POLICIES.map(policy => {
      const config = {
        ...DEFAULT_CONFIG,
        loadAt: () => load,
        retriesEagerly: true,
      };
      const result = runService(policy, config, [], seed);
      return {
        scenario: formatScenario(load),
        policy: policy.name,
        metrics: toMetrics({
          goodputPerS: computeGoodputPerS(
            result,
            WARM_UP_MS,
            config.durationMs,
          ),
          ...summarizeFirstTokens(result),
          goodShare: result.goodCount / result.offeredCount,
          attemptsPerRequest: result.attemptCount / result.offeredCount,
        }),
      };
    }),
  );
}

function checkGoals(read: MetricSummaryReader): readonly GoalResult[] {
  const goodputs = LOADS.map(
    load => read(formatScenario(load), PRODUCT_POLICY.name, 'goodputPerS').mean,
  );
  const peak = Math.max(...goodputs);
  const share = goodputs[goodputs.length - 1] / peak;
  return [
    {
      goal: `goodput at load 2 at least ${GOODPUT_GOAL_SHARE} of the peak goodput`,
      measured: `${share.toFixed(3)} (${goodputs[goodputs.length - 1].toFixed(1)} of ${peak.toFixed(1)}/s)`,
      isMet: share >= GOODPUT_GOAL_SHARE,
    },
  ];
}

/** Measures time to first token and goodput at 0.5 to 2 times the capacity. */
export const OVERLOAD: Experiment = {
  name: 'overload',
  description: 'time to first token and goodput at 0.5 to 2 times the capacity',
  defaultSeedCount: 10,
  run,
  checkGoals,
};
