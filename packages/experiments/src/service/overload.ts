import {
  toMetrics,
  type Experiment,
  type GoalResult,
  type Sample,
  type MetricSummaryReader,
} from '../harness/experiment.js';
import {readGoodput, summarizeFirstTokens} from './service_result.js';
import {runService} from './service_run.js';
import {PLAIN_SETTING} from './service_setting.js';
import {PRODUCT_WAY, SERVICE_WAYS} from './service_ways.js';

const FACTORS = [0.5, 0.75, 1, 1.25, 1.5, 2];
const WARM_UP_MS = 10_000;
const GOODPUT_GOAL_SHARE = 0.95;

function formatScenario(factor: number): string {
  return `load ${factor}`;
}

function run(seed: number): readonly Sample[] {
  return FACTORS.flatMap(factor =>
    SERVICE_WAYS.map(way => {
      const setting = {
        ...PLAIN_SETTING,
        loadAt: () => factor,
        isImpatient: true,
      };
      const result = runService(way, setting, [], seed);
      return {
        scenario: formatScenario(factor),
        policy: way.name,
        metrics: toMetrics({
          goodputPerS: readGoodput(result, WARM_UP_MS, setting.durationMs),
          ...summarizeFirstTokens(result),
          goodShare: result.goodCount / result.offeredCount,
          attemptsPerRequest: result.attemptCount / result.offeredCount,
        }),
      };
    }),
  );
}

function checkGoals(read: MetricSummaryReader): readonly GoalResult[] {
  const goodputs = FACTORS.map(
    factor =>
      read(formatScenario(factor), PRODUCT_WAY.name, 'goodputPerS').mean,
  );
  const peak = Math.max(...goodputs);
  const share = goodputs[goodputs.length - 1] / peak;
  return [
    {
      goal: `goodput at 2x at least ${GOODPUT_GOAL_SHARE} of its peak`,
      measured: `${share.toFixed(3)} (${goodputs[goodputs.length - 1].toFixed(1)} of ${peak.toFixed(1)}/s)`,
      isMet: share >= GOODPUT_GOAL_SHARE,
    },
  ];
}

/** First token and goodput from half to twice the capacity. */
export const OVERLOAD: Experiment = {
  name: 'overload',
  description: 'first token and goodput at 0.5 to 2 times the capacity',
  defaultSeedCount: 10,
  run,
  checkGoals,
};
