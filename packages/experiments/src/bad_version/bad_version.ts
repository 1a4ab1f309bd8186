import {
  toMetrics,
  type Experiment,
  type GoalResult,
  type Sample,
  type MetricSummaryReader,
} from '../harness/experiment.js';
import {
  runRollout,
  type RolloutScenario,
  type RolloutPolicy,
} from './rollout_run.js';

const HOUR_MS = 3_600_000;
const GOOD_QUALITY = 0.78;
const GOOD_ERROR_RATE = 0.005;
const EXPOSURE_GOAL_RATIO = 1 / 3;
const FIXED_THRESHOLD = 'fixed-threshold';
const PRODUCT = 'sequential';

const BASE: RolloutScenario = {
  name: 'good',
  durationMs: 2 * HOUR_MS,
  badFromMs: 0,
  badBehaviour: {quality: GOOD_QUALITY, errorRate: GOOD_ERROR_RATE},
  lossShare: 0.1,
};

const BIASED_SCENARIOS: readonly RolloutScenario[] = [0.04, 0.08].map(bias => ({
  ...BASE,
  name: `good, checks ${bias} lower`,
  badBehaviour: {...BASE.badBehaviour, checkBias: -bias},
}));

const GOOD_SCENARIOS: readonly RolloutScenario[] = [BASE, ...BIASED_SCENARIOS];

const BAD_SCENARIOS: readonly RolloutScenario[] = [
  {
    ...BASE,
    name: 'quality -0.15',
    badBehaviour: {quality: GOOD_QUALITY - 0.15, errorRate: GOOD_ERROR_RATE},
  },
  {
    ...BASE,
    name: 'quality -0.40',
    badBehaviour: {quality: GOOD_QUALITY - 0.4, errorRate: GOOD_ERROR_RATE},
  },
  {
    ...BASE,
    name: 'errors 20%',
    badBehaviour: {quality: GOOD_QUALITY, errorRate: 0.2},
  },
  {
    ...BASE,
    name: 'turns bad after 1 h',
    badFromMs: HOUR_MS,
    badBehaviour: {quality: GOOD_QUALITY - 0.25, errorRate: GOOD_ERROR_RATE},
  },
];

const POLICIES: readonly RolloutPolicy[] = [
  {
    name: FIXED_THRESHOLD,
    stop: 'fixed-threshold',
    ramp: 'timed',
    settings: {stepMs: 600_000},
    focusesRatings: false,
  },
  {
    name: 'fixed-threshold, 0.05 over 30 ratings',
    stop: 'fixed-threshold',
    ramp: 'timed',
    settings: {stepMs: 600_000, fixedQualityDrop: 0.05, fixedMinRatings: 30},
    focusesRatings: false,
  },
  {
    name: 'fixed-threshold, ratings focused',
    stop: 'fixed-threshold',
    ramp: 'timed',
    settings: {stepMs: 600_000},
    focusesRatings: true,
  },
  {
    name: 'sequential, timed ramp, ratings even, no checks',
    stop: 'sequential',
    ramp: 'timed',
    settings: {stepMs: 600_000, checkAction: 'ignore'},
    focusesRatings: false,
  },
  {
    name: 'sequential, no checks',
    stop: 'sequential',
    ramp: 'evidence',
    settings: {checkAction: 'ignore'},
    focusesRatings: true,
  },
  {
    name: 'sequential, checks stop',
    stop: 'sequential',
    ramp: 'evidence',
    settings: {checkAction: 'stop'},
    focusesRatings: true,
  },
  {
    name: PRODUCT,
    stop: 'sequential',
    ramp: 'evidence',
    settings: {},
    focusesRatings: true,
  },
];

function run(seed: number): readonly Sample[] {
  return [...GOOD_SCENARIOS, ...BAD_SCENARIOS].flatMap(scenario =>
    POLICIES.map(policy => {
      const result = runRollout(policy, scenario, seed);
      const isGood = GOOD_SCENARIOS.includes(scenario);
      return {
        scenario: scenario.name,
        policy: policy.name,
        metrics: toMetrics({
          ...(isGood
            ? {falseStopShare: Number(result.isStopped)}
            : {
                exposedRequests: result.exposedRequests,
                stoppedShare: Number(result.isStopped),
                stopDelayS: result.stopDelayMs / 1000,
                spreadS: result.spreadMs / 1000,
              }),
          fullShareS: result.fullShareMs / 1000,
          bytesPerMemberPerS: result.bytesPerMemberPerS,
        }),
      };
    }),
  );
}

function checkGoals(read: MetricSummaryReader): readonly GoalResult[] {
  const falseStops = (policy: string) =>
    Math.max(
      ...GOOD_SCENARIOS.map(
        ({name}) => read(name, policy, 'falseStopShare').mean,
      ),
    );
  return BAD_SCENARIOS.map(({name}) => {
    const fixed = read(name, FIXED_THRESHOLD, 'exposedRequests').mean;
    const product = read(name, PRODUCT, 'exposedRequests').mean;
    const ratio = product / fixed;
    const hasNoMoreFalseStops =
      falseStops(PRODUCT) <= falseStops(FIXED_THRESHOLD);
    return {
      goal: `${name}: exposure at most a third of ${FIXED_THRESHOLD}'s at an equal or lower false-stop rate`,
      measured: `${ratio.toFixed(3)} (${product.toFixed(0)} against ${fixed.toFixed(0)} requests), false stops ${falseStops(PRODUCT)} against ${falseStops(FIXED_THRESHOLD)}`,
      isMet: hasNoMoreFalseStops && ratio <= EXPOSURE_GOAL_RATIO,
    };
  });
}

/**
 * Measures the requests that a bad version serves before its rollout stops, and
 * how often a good version is stopped (false stops).
 */
export const BAD_VERSION: Experiment = {
  name: 'bad-version',
  description: 'requests served by a bad version, and false stops',
  defaultSeedCount: 20,
  run,
  checkGoals,
};
