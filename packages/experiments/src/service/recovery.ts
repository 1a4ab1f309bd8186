import {
  toMetrics,
  type Experiment,
  type GoalResult,
  type Sample,
  type MetricSummaryReader,
} from '../harness/experiment.js';
import {readGoodput, type ServiceResult} from './service_result.js';
import {runService} from './service_run.js';
import {
  PLAIN_SETTING,
  type Fault,
  type ServiceSetting,
  type ServiceWorld,
} from './service_setting.js';
import {PRODUCT_WAY, SERVICE_WAYS} from './service_ways.js';

const FAULT_MS = 30_000;
const END_MS = 50_000;
const DURATION_MS = 90_000;
const WARM_UP_MS = 10_000;
const FLAP_MS = 2000;
const WINDOW_MS = 5000;
const RECOVERED_SHARE = 0.85;
const ENTRY_DETECTION_MS = 3000;
const SLOW_SPEED = 0.1;
const KEPT_GOAL_SHARE = 0.85;

interface RecoveryScenario {
  readonly name: string;
  readonly setting: ServiceSetting;
  readonly faults: readonly Fault[];
  /** When the fault is over, or began, if it lasts. */
  readonly clearedMs: number;
}

const BASE: ServiceSetting = {
  ...PLAIN_SETTING,
  durationMs: DURATION_MS,
  loadAt: () => 0.6,
};

function setDown(isDown: boolean, from: number, to: number) {
  return ({engines}: ServiceWorld) => {
    for (const engine of engines.slice(from, to)) engine.setDown(isDown);
  };
}

const LOSE_ENTRY: Fault = {
  atMs: FAULT_MS,
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
  {length: (END_MS - FAULT_MS) / FLAP_MS},
  (_, index) => ({
    atMs: FAULT_MS + index * FLAP_MS,
    apply: setDown(index % 2 === 0, 3, 4),
  }),
);

function setSpeed(speed: number) {
  return ({engines}: ServiceWorld) => {
    engines[3].speed = speed;
  };
}

const SCENARIOS: readonly RecoveryScenario[] = [
  {
    name: 'one of 4 entries lost',
    setting: BASE,
    faults: [LOSE_ENTRY],
    clearedMs: FAULT_MS,
  },
  {
    name: 'a third of the runners lost',
    setting: BASE,
    faults: [{atMs: FAULT_MS, apply: setDown(true, 0, 4)}],
    clearedMs: FAULT_MS,
  },
  {
    name: "all of a version's runners lost for 20 s",
    setting: {...BASE, secondVersionEngines: 6, loadAt: () => 0.4},
    faults: [
      {atMs: FAULT_MS, apply: setDown(true, 0, 6)},
      {atMs: END_MS, apply: setDown(false, 0, 6)},
    ],
    clearedMs: END_MS,
  },
  {
    name: 'a runner ten times slower for 20 s',
    setting: BASE,
    faults: [
      {atMs: FAULT_MS, apply: setSpeed(SLOW_SPEED)},
      {atMs: END_MS, apply: setSpeed(1)},
    ],
    clearedMs: END_MS,
  },
  {
    name: 'a runner up and down every 2 s for 20 s',
    setting: BASE,
    faults: [...FLAPS, {atMs: END_MS, apply: setDown(false, 3, 4)}],
    clearedMs: END_MS,
  },
  {
    name: 'retry storm: 3x load for 5 s',
    setting: {
      ...BASE,
      isImpatient: true,
      loadAt: nowMs =>
        nowMs >= FAULT_MS && nowMs < FAULT_MS + WINDOW_MS ? 3 : 0.8,
    },
    faults: [],
    clearedMs: FAULT_MS + WINDOW_MS,
  },
];

// Time from the end of the fault to the first five seconds at the old rate.
function readRecoveryMs(
  result: ServiceResult,
  clearedMs: number,
  before: number,
): number {
  for (let fromMs = clearedMs; fromMs + WINDOW_MS <= DURATION_MS;) {
    const goodput = readGoodput(result, fromMs, fromMs + WINDOW_MS);
    if (goodput >= RECOVERED_SHARE * before) return fromMs - clearedMs;
    fromMs += 1000;
  }
  return DURATION_MS - clearedMs;
}

function run(seed: number): readonly Sample[] {
  return SCENARIOS.flatMap(({name, setting, faults, clearedMs}) =>
    SERVICE_WAYS.map(way => {
      const result = runService(way, setting, faults, seed);
      const before = readGoodput(result, WARM_UP_MS, FAULT_MS);
      const through = readGoodput(result, FAULT_MS, END_MS);
      const after = readGoodput(result, END_MS + WINDOW_MS, DURATION_MS);
      return {
        scenario: name,
        policy: way.name,
        metrics: toMetrics({
          goodputBeforePerS: before,
          throughShare: through / before,
          afterShare: after / before,
          recoveryS: readRecoveryMs(result, clearedMs, before) / 1000,
          goodShare: result.goodCount / result.offeredCount,
          attemptsPerRequest: result.attemptCount / result.offeredCount,
        }),
      };
    }),
  );
}

function checkGoals(read: MetricSummaryReader): readonly GoalResult[] {
  return SCENARIOS.map(({name}) => {
    const through = read(name, PRODUCT_WAY.name, 'throughShare').mean;
    const after = read(name, PRODUCT_WAY.name, 'afterShare').mean;
    return {
      goal: `${name}: goodput through and after at least ${KEPT_GOAL_SHARE} of before`,
      measured: `${through.toFixed(2)} and ${after.toFixed(2)}`,
      isMet: through >= KEPT_GOAL_SHARE && after >= KEPT_GOAL_SHARE,
    };
  });
}

/** Goodput through and after faults. */
export const RECOVERY: Experiment = {
  name: 'recovery',
  description: 'goodput through and after faults, and time to recover',
  defaultSeedCount: 10,
  run,
  checkGoals,
};
