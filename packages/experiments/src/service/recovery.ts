import {
  toMetrics,
  type Experiment,
  type GoalResult,
  type Sample,
  type MetricSummaryReader,
} from '../harness/experiment.js';
import {computeGoodputPerS, type ServiceResult} from './service_result.js';
import {runService} from './service_run.js';
import {
  DEFAULT_CONFIG,
  type Fault,
  type ServiceConfig,
  type SimulatedService,
} from './service_config.js';
import {PRODUCT_POLICY, SERVICE_POLICIES} from './service_policies.js';

const FAULT_START_MS = 30_000;
const FAULT_END_MS = 50_000;
const DURATION_MS = 90_000;
const WARM_UP_MS = 10_000;
const FLAP_INTERVAL_MS = 2000;
const WINDOW_MS = 5000;
const RECOVERED_SHARE = 0.85;
const ENTRY_DETECTION_MS = 3000;
const SLOW_RELATIVE_SPEED = 0.1;
const GOODPUT_GOAL_SHARE = 0.85;

interface RecoveryScenario {
  readonly name: string;
  readonly config: ServiceConfig;
  readonly faults: readonly Fault[];
  /** End of the fault, or its start when the fault is permanent. */
  readonly recoveryStartMs: number;
}

const BASE: ServiceConfig = {
  ...DEFAULT_CONFIG,
  durationMs: DURATION_MS,
  loadAt: () => 0.6,
};

function setDown(isDown: boolean, from: number, to: number) {
  return ({engines}: SimulatedService) => {
    for (const engine of engines.slice(from, to)) engine.setDown(isDown);
  };
}

const ENTRY_CRASH: Fault = {
  atMs: FAULT_START_MS,
  apply: ({entries, events}) => {
    entries[0].crash();
    events.after(ENTRY_DETECTION_MS, () => {
      for (const {balancer} of entries.slice(1)) {
        balancer.setEntryCount(entries.length - 1);
      }
    });
  },
};

const FLAPS: readonly Fault[] = Array.from(
  {length: (FAULT_END_MS - FAULT_START_MS) / FLAP_INTERVAL_MS},
  (_, index) => ({
    atMs: FAULT_START_MS + index * FLAP_INTERVAL_MS,
    apply: setDown(index % 2 === 0, 3, 4),
  }),
);

function setSpeed(speed: number) {
  return ({engines}: SimulatedService) => {
    engines[3].relativeSpeed = speed;
  };
}

const SCENARIOS: readonly RecoveryScenario[] = [
  {
    name: 'one of 4 entries lost',
    config: BASE,
    faults: [ENTRY_CRASH],
    recoveryStartMs: FAULT_START_MS,
  },
  {
    name: 'a third of the runners lost',
    config: BASE,
    faults: [{atMs: FAULT_START_MS, apply: setDown(true, 0, 4)}],
    recoveryStartMs: FAULT_START_MS,
  },
  {
    name: "all of a version's runners lost for 20 s",
    config: {...BASE, secondVersionEngineCount: 6, loadAt: () => 0.4},
    faults: [
      {atMs: FAULT_START_MS, apply: setDown(true, 0, 6)},
      {atMs: FAULT_END_MS, apply: setDown(false, 0, 6)},
    ],
    recoveryStartMs: FAULT_END_MS,
  },
  {
    name: 'a runner ten times slower for 20 s',
    config: BASE,
    faults: [
      {atMs: FAULT_START_MS, apply: setSpeed(SLOW_RELATIVE_SPEED)},
      {atMs: FAULT_END_MS, apply: setSpeed(1)},
    ],
    recoveryStartMs: FAULT_END_MS,
  },
  {
    name: 'a runner up and down every 2 s for 20 s',
    config: BASE,
    faults: [...FLAPS, {atMs: FAULT_END_MS, apply: setDown(false, 3, 4)}],
    recoveryStartMs: FAULT_END_MS,
  },
  {
    name: 'retry storm: 3x load for 5 s',
    config: {
      ...BASE,
      retriesEagerly: true,
      loadAt: nowMs =>
        nowMs >= FAULT_START_MS && nowMs < FAULT_START_MS + WINDOW_MS ? 3 : 0.8,
    },
    faults: [],
    recoveryStartMs: FAULT_START_MS + WINDOW_MS,
  },
];

// Returns the time from `recoveryStartMs` to the first 5 s window with at least
// `RECOVERED_SHARE` of the goodput before the fault, or to the end of the run.
function computeRecoveryMs(
  result: ServiceResult,
  recoveryStartMs: number,
  goodputBefore: number,
): number {
  for (let fromMs = recoveryStartMs; fromMs + WINDOW_MS <= DURATION_MS;) {
    const goodput = computeGoodputPerS(result, fromMs, fromMs + WINDOW_MS);
    if (goodput >= RECOVERED_SHARE * goodputBefore)
      return fromMs - recoveryStartMs;
    fromMs += 1000;
  }
  return DURATION_MS - recoveryStartMs;
}

function run(seed: number): readonly Sample[] {
  return SCENARIOS.flatMap(({name, config, faults, recoveryStartMs}) =>
    SERVICE_POLICIES.map(policy => {
      const result = runService(policy, config, faults, seed);
      const goodputBefore = computeGoodputPerS(
        result,
        WARM_UP_MS,
        FAULT_START_MS,
      );
      const goodputDuring = computeGoodputPerS(
        result,
        FAULT_START_MS,
        FAULT_END_MS,
      );
      const goodputAfter = computeGoodputPerS(
        result,
        FAULT_END_MS + WINDOW_MS,
        DURATION_MS,
      );
      return {
        scenario: name,
        policy: policy.name,
        metrics: toMetrics({
          goodputBeforePerS: goodputBefore,
          throughShare: goodputDuring / goodputBefore,
          afterShare: goodputAfter / goodputBefore,
          recoveryS:
            computeRecoveryMs(result, recoveryStartMs, goodputBefore) / 1000,
          goodShare: result.goodCount / result.offeredCount,
          attemptsPerRequest: result.attemptCount / result.offeredCount,
        }),
      };
    }),
  );
}

function checkGoals(read: MetricSummaryReader): readonly GoalResult[] {
  return SCENARIOS.map(({name}) => {
    const duringShare = read(name, PRODUCT_POLICY.name, 'throughShare').mean;
    const afterShare = read(name, PRODUCT_POLICY.name, 'afterShare').mean;
    return {
      goal: `${name}: goodput during and after the fault at least ${GOODPUT_GOAL_SHARE} of the goodput before it`,
      measured: `${duringShare.toFixed(2)} and ${afterShare.toFixed(2)}`,
      isMet:
        duringShare >= GOODPUT_GOAL_SHARE && afterShare >= GOODPUT_GOAL_SHARE,
    };
  });
}

/** Measures goodput during and after faults, and the time to recover. */
export const RECOVERY: Experiment = {
  name: 'recovery',
  description: 'goodput during and after faults, and time to recover',
  defaultSeedCount: 10,
  run,
  checkGoals,
};
