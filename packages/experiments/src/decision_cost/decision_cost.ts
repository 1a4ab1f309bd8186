import {performance} from 'node:perf_hooks';
import {
  AdmissionController,
  BackendBalancer,
  EvidenceTable,
  ModelChooser,
  OrganisationLimiter,
  RetryBudget,
  RolloutMonitor,
  createRandom,
  type BackendServer,
  type ModelOption,
} from '@anvilrudder/core';
import {
  toMetrics,
  type Experiment,
  type GoalResult,
  type Sample,
  type MetricSummaryReader,
} from '../harness/experiment.js';

interface Size {
  readonly name: string;
  readonly versionCount: number;
  readonly serverCount: number;
  readonly entryCount: number;
}

const SIZES: readonly Size[] = [
  {
    name: 'today: 4 versions, 13 runners, 4 entries',
    versionCount: 4,
    serverCount: 13,
    entryCount: 4,
  },
  {
    name: '7 versions, 160 runners, 24 entries',
    versionCount: 7,
    serverCount: 160,
    entryCount: 24,
  },
  {
    name: '14 versions, 650 runners, 90 entries',
    versionCount: 14,
    serverCount: 650,
    entryCount: 90,
  },
  {
    name: 'target: 28 versions, 2600 runners, 360 entries',
    versionCount: 28,
    serverCount: 2600,
    entryCount: 360,
  },
];
const REQUEST_COUNT = 20_000;
const WARM_UP_COUNT = 4000;
const MODELS_PER_SERVER = 2;
const REQUEST_GAP_MS = 0.3;
const RATING_EVERY = 20;
const US_PER_MS = 1000;
const TARGET_GOAL_US = 100;

function createOptions(size: Size): readonly ModelOption[] {
  return Array.from({length: size.versionCount}, (_, index) => ({
    model: `model-${index >> 1}`,
    version: `v${index & 1}`,
    costPerMtok: 0.4 + index,
    quality: 0.5 + 0.45 * (index / size.versionCount),
    share: index % 8 === 1 ? 0.05 : 1,
    sourceLine: index + 1,
  }));
}

function createServers(
  size: Size,
  options: readonly ModelOption[],
): readonly BackendServer[] {
  return Array.from({length: size.serverCount}, (_, index) => ({
    id: `server-${index}`,
    failureDomain: `domain-${index % 4}`,
    slots: 8,
    loaded: Array.from(
      {length: MODELS_PER_SERVER},
      (_unused, offset) => options[(index + offset * 3) % options.length],
    ),
  }));
}

class Stopwatch {
  private totalMs = 0;
  private count = 0;

  private constructor() {}

  static create(): Stopwatch {
    return new Stopwatch();
  }

  measure<T>(isCounted: boolean, run: () => T): T {
    const startMs = performance.now();
    const result = run();
    if (isCounted) {
      this.totalMs += performance.now() - startMs;
      this.count += 1;
    }
    return result;
  }

  readUs(): number {
    return (this.totalMs * US_PER_MS) / Math.max(1, this.count);
  }
}

function measureSize(size: Size, seed: number): Sample {
  const random = createRandom(seed);
  const options = createOptions(size);
  const chooser = ModelChooser.create();
  const balancer = BackendBalancer.create({failureDomain: 'domain-0', random});
  balancer.setEntryCount(size.entryCount);
  const update = Stopwatch.create();
  update.measure(true, () =>
    balancer.updateServers(createServers(size, options)),
  );
  const admission = AdmissionController.create({
    random,
    initialConcurrency: 64,
  });
  const limiter = OrganisationLimiter.create({member: 'a/1', random});
  const limit = {requestsPerS: 1e9, burst: 1e9, concurrent: 1e9};
  limiter.updateLimits([{organisation: 'school', ...limit}], 0);
  const budget = RetryBudget.create();
  const [choose, pick, rest] = [0, 1, 2].map(() => Stopwatch.create());
  const cascadeModels = ['model-0', 'model-1', 'model-2'];
  const inFlight: string[] = [];
  for (let i = 0; i < REQUEST_COUNT; i++) {
    const nowMs = i * REQUEST_GAP_MS;
    const isCounted = i >= WARM_UP_COUNT;
    const id = `request-${i}`;
    const plan = choose.measure(isCounted, () =>
      chooser.choose({
        organisation: 'school',
        kind: `kind-${i % 3}`,
        key: id,
        qualityTarget: 0.7,
        options,
        cascadeModels,
      }),
    );
    const [step] = plan?.steps ?? [];
    rest.measure(isCounted, () => {
      limiter.tryAcquire('school', nowMs);
      budget.recordFirstAttempt(nowMs);
      admission.offer(
        {id, priority: 'normal', deadlineMs: nowMs + 8000},
        nowMs,
      );
      admission.finish(
        {serviceMs: 2000, firstTokenMs: 100, wasRefused: false},
        nowMs,
      );
      admission.takeReady(nowMs);
      limiter.release('school');
    });
    const prefixKey = `prefix-${i % 997}`;
    const serverId = pick.measure(isCounted, () =>
      balancer.pick({...step, prefixKey}, nowMs),
    );
    if (serverId !== undefined) inFlight.push(serverId);
    if (inFlight.length > size.serverCount) {
      const ended = inFlight.shift() as string;
      pick.measure(false, () =>
        balancer.finish(ended, {isFailure: false, tokenLatencyMs: 20}, nowMs),
      );
    }
    if (i % RATING_EVERY === 0) {
      const score = 0.5 + 0.4 * random();
      chooser.observeRating({kind: `kind-${i % 3}`, ...step, score});
    }
  }
  return {
    scenario: size.name,
    policy: 'product',
    metrics: toMetrics({
      chooseUs: choose.readUs(),
      pickUs: pick.readUs(),
      limitAndAdmitUs: rest.readUs(),
      wholeUs: choose.readUs() + pick.readUs() + rest.readUs(),
      updateServersUs: update.readUs(),
      rolloutDecideUs: measureRollout(size),
    }),
  };
}

// One decision on a roll-out after every entry has told its counters.
function measureRollout(size: Size): number {
  const candidate = {model: 'm', version: 'v2'};
  const baseline = {model: 'm', version: 'v1'};
  const ledger = EvidenceTable.create({host: 'self', incarnation: '1'});
  const monitor = RolloutMonitor.create({candidate, baseline}, 0);
  for (let i = 0; i < size.entryCount; i++) {
    const peer = EvidenceTable.create({host: `e${i}`, incarnation: '1'});
    for (const version of [candidate, baseline]) {
      peer.record(version, {requests: 1, score: 0.7, checkScore: 0.7});
    }
    ledger.merge(peer.createDelta(0));
  }
  const watch = Stopwatch.create();
  for (let i = 0; i < 500; i++) {
    watch.measure(i >= 100, () => monitor.decide(ledger, i * 1000));
  }
  return watch.readUs();
}

function run(seed: number): readonly Sample[] {
  return SIZES.map(size => measureSize(size, seed));
}

function checkGoals(read: MetricSummaryReader): readonly GoalResult[] {
  const [today, target] = [SIZES[0], SIZES[SIZES.length - 1]].map(
    ({name}) => read(name, 'product', 'wholeUs').mean,
  );
  return [
    {
      goal: `a decision takes at most ${TARGET_GOAL_US} microseconds at the target`,
      measured: `${target.toFixed(1)} µs, ${today.toFixed(1)} µs today`,
      isMet: target <= TARGET_GOAL_US,
    },
  ];
}

/** Processor time of the decisions for one request. */
export const DECISION_COST: Experiment = {
  name: 'decision-cost',
  description: 'microseconds for the decisions of one request, by size',
  defaultSeedCount: 10,
  run,
  checkGoals,
};
