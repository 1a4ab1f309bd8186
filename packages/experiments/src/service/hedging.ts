import {
  HedgeDelayEstimator,
  RetryBudget,
  createRandom,
  computeQuantile,
  sampleExponential,
  type BudgetPolicyName,
} from '@anvilrudder/core';
import {
  toMetrics,
  type Experiment,
  type GoalResult,
  type Sample,
  type MetricSummaryReader,
} from '../harness/experiment.js';
import {EventQueue} from './event_queue.js';

interface HedgePolicy {
  readonly name: string;
  readonly quantile: number;
  readonly budget: BudgetPolicyName;
}

interface SimulatedServer {
  running: number;
  readonly queue: Task[];
}

interface Task {
  isCancelled: boolean;
  readonly onDone: () => void;
}

const SERVER_COUNT = 3;
const SLOTS = 8;
const MEAN_ANSWER_MS = 30;
const STALL_SHARE = 0.02;
const STALL_MS = 800;
const DURATION_MS = 60_000;
const LOADS = [0.3, 0.6, 0.95];
const PRODUCT = 'p95 within the budget';
const NO_HEDGE = 'no hedge';
const POLICIES: readonly HedgePolicy[] = [
  {name: NO_HEDGE, quantile: 0.95, budget: 'none'},
  {name: 'p50 without a budget', quantile: 0.5, budget: 'unlimited'},
  {name: PRODUCT, quantile: 0.95, budget: 'budget'},
];

function runHedging(policy: HedgePolicy, load: number, seed: number) {
  const events = EventQueue.create();
  const random = createRandom(seed);
  const delayEstimator = HedgeDelayEstimator.create({
    quantile: policy.quantile,
  });
  const budget = RetryBudget.create({policy: policy.budget, ratio: 0.05});
  const servers: SimulatedServer[] = Array.from({length: SERVER_COUNT}, () => ({
    running: 0,
    queue: [],
  }));
  const latencies: number[] = [];
  const counts = {calls: 0, attempts: 0};
  const meanServiceMs = MEAN_ANSWER_MS + STALL_SHARE * STALL_MS;
  const meanIntervalMs = meanServiceMs / (load * SERVER_COUNT * SLOTS);

  const start = (server: SimulatedServer, task: Task) => {
    server.running += 1;
    const isStalled = random() < STALL_SHARE;
    const answerMs =
      sampleExponential(random, MEAN_ANSWER_MS) + (isStalled ? STALL_MS : 0);
    events.after(answerMs, () => {
      server.running -= 1;
      task.onDone();
      while (server.queue.length > 0) {
        const next = server.queue.shift() as Task;
        if (next.isCancelled) continue;
        return start(server, next);
      }
    });
  };
  const submit = (index: number, task: Task) => {
    const server = servers[index];
    counts.attempts += 1;
    if (server.running < SLOTS) start(server, task);
    else server.queue.push(task);
  };
  const startCall = () => {
    const startedMs = events.nowMs;
    counts.calls += 1;
    budget.recordFirstAttempt(startedMs);
    let isDone = false;
    const tasks: Task[] = [];
    const attempt = (index: number) => {
      const task: Task = {
        isCancelled: false,
        onDone: () => {
          if (isDone) return;
          isDone = true;
          for (const other of tasks) other.isCancelled = true;
          latencies.push(events.nowMs - startedMs);
          delayEstimator.observe(events.nowMs - startedMs);
        },
      };
      tasks.push(task);
      submit(index, task);
    };
    const first = Math.floor(random() * SERVER_COUNT);
    attempt(first);
    const delayMs = delayEstimator.resolveDelayMs(true);
    if (delayMs === undefined) return;
    events.after(delayMs, () => {
      if (isDone || !budget.tryTake(events.nowMs)) return;
      attempt((first + 1) % SERVER_COUNT);
    });
  };
  const scheduleArrival = () => {
    events.after(sampleExponential(random, meanIntervalMs), () => {
      if (events.nowMs >= DURATION_MS) return;
      startCall();
      scheduleArrival();
    });
  };
  scheduleArrival();
  events.runUntil(DURATION_MS);
  latencies.sort((a, b) => a - b);
  return {
    latencyP50Ms: computeQuantile(latencies, 0.5),
    latencyP95Ms: computeQuantile(latencies, 0.95),
    latencyP99Ms: computeQuantile(latencies, 0.99),
    addedLoadShare: counts.attempts / counts.calls - 1,
  };
}

function run(seed: number): readonly Sample[] {
  return LOADS.flatMap(load =>
    POLICIES.map(policy => ({
      scenario: `load ${load}`,
      policy: policy.name,
      metrics: toMetrics(runHedging(policy, load, seed)),
    })),
  );
}

function checkGoals(read: MetricSummaryReader): readonly GoalResult[] {
  return LOADS.map(load => {
    const unhedged = read(`load ${load}`, NO_HEDGE, 'latencyP99Ms').mean;
    const hedged = read(`load ${load}`, PRODUCT, 'latencyP99Ms').mean;
    return {
      goal: `load ${load}: hedging does not raise the p99`,
      measured: `${hedged.toFixed(0)} against ${unhedged.toFixed(0)} ms`,
      isMet: hedged <= unhedged,
    };
  });
}

/** Measures the latency of an idempotent plain service with hedged requests. */
export const HEDGING: Experiment = {
  name: 'hedging',
  description: 'latency and added load of hedged requests, by policy',
  defaultSeedCount: 10,
  run,
  checkGoals,
};
