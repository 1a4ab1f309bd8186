import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {ModelVersion, WantedState} from '@anvilrudder/core';
import {createLeaseManager} from '../../src/control/leases/lease_manager.js';
import {
  createRolloutRunner,
  type EngineOrder,
  type EngineOrderClient,
  type OrderResult,
  type RolloutRunner,
} from '../../src/control/orders/rollout_runner.js';
import {
  MemoryObjectStore,
  type ScriptedFault,
} from '../support/memory_object_store.js';

const LEASE_MS = 1000;

/** Engines that apply orders, with or without a check of fencing numbers. */
class FakeEngines implements EngineOrderClient {
  readonly sent: string[] = [];
  maxInProgress = 0;
  /** Fate of the next orders; undefined for none. */
  faults: Array<'refused' | 'answerLost' | undefined> = [];
  /** The next order waits for this on its way. */
  hold: Promise<unknown> | undefined;

  private readonly state = new Map<string, readonly ModelVersion[]>();
  private readonly fencing = new Map<string, number>();
  private inProgress = 0;

  constructor(private readonly honoursFencing: boolean) {}

  async send(engine: string, order: EngineOrder): Promise<OrderResult> {
    const fault = this.faults.shift();
    const {hold} = this;
    this.hold = undefined;
    this.inProgress += 1;
    this.maxInProgress = Math.max(this.maxInProgress, this.inProgress);
    await hold;
    await Promise.resolve();
    this.inProgress -= 1;
    if (fault === 'refused') throw new Error('connection refused');
    const current = this.fencing.get(engine) ?? 0;
    if (this.honoursFencing && order.fencing < current) return 'oldFencing';
    this.fencing.set(engine, order.fencing);
    this.sent.push(`${engine} ${order.fencing}`);
    this.state.set(engine, order.wanted.loaded);
    if (fault === 'answerLost') throw new Error('connection lost');
    return 'applied';
  }

  async listLoaded(engine: string): Promise<readonly ModelVersion[]> {
    return await Promise.resolve(this.state.get(engine) ?? []);
  }
}

function createWanted(version: string): WantedState {
  return {loaded: [{model: 'quick', version}], isDraining: false};
}

const STEPS = ['runner-1', 'runner-2', 'runner-3'].map(engine => ({
  engine,
  wanted: createWanted('v2'),
}));

class Bench {
  nowMs = 0;
  readonly store = MemoryObjectStore.create();
  readonly engines: FakeEngines;

  constructor(honoursFencing = true) {
    this.engines = new FakeEngines(honoursFencing);
  }

  createRunner(host: string, maxConcurrentLoads = 1) {
    const {store, engines} = this;
    const member = {host, incarnation: `${host}-1`};
    const lease = createLeaseManager({
      store,
      member,
      duty: 'rollouts',
      leaseMs: LEASE_MS,
      marginMs: 100,
      nowMs: () => this.nowMs,
    });
    const runner = createRolloutRunner({
      store,
      lease,
      engines,
      maxConcurrentLoads,
    });
    return {lease, runner};
  }

  async listLoaded(): Promise<string[]> {
    const loaded = STEPS.map(({engine}) => this.engines.listLoaded(engine));
    return (await Promise.all(loaded)).map(l => l[0]?.version ?? 'none');
  }
}

async function finish(runner: RolloutRunner): Promise<void> {
  let plannedCount: number | undefined;
  while (plannedCount !== 0) {
    plannedCount = (await runner.advance('r-1'))?.plannedCount;
  }
}

interface Row {
  readonly fault: string;
  readonly storeFaults?: readonly ScriptedFault[];
  readonly engineFaults?: Array<'refused' | 'answerLost' | undefined>;
  readonly orderCount: number;
}

const ROWS: readonly Row[] = [
  {fault: 'no fault', orderCount: 3},
  {
    fault: 'an order is refused by the connection',
    engineFaults: ['refused'],
    orderCount: 3,
  },
  {
    fault: 'an order is applied and its answer is lost',
    engineFaults: ['answerLost'],
    orderCount: 4,
  },
  {
    fault: 'the record of a step takes effect and its answer is lost',
    storeFaults: [{method: 'put', prefix: 'rollouts/', fault: 'answerLost'}],
    orderCount: 3,
  },
  {
    fault: 'the record of a step is refused',
    storeFaults: [{method: 'put', prefix: 'rollouts/', fault: 'refused'}],
    orderCount: 4,
  },
  {
    fault: 'the store is out for the list of steps',
    storeFaults: [{method: 'list', fault: 'refused'}],
    orderCount: 3,
  },
];

for (const row of ROWS) {
  test(`[orders] ${row.fault}: the roll-out finishes`, async () => {
    const bench = new Bench();
    const {lease, runner} = bench.createRunner('entry-1');
    await lease.renewOrAcquire();
    assert.equal(await runner.plan('r-1', STEPS), true);
    bench.store.injectFaults(...(row.storeFaults ?? []));
    bench.engines.faults = [...(row.engineFaults ?? [])];
    await finish(runner);
    assert.deepEqual(await bench.listLoaded(), ['v2', 'v2', 'v2']);
    assert.equal(bench.engines.sent.length, row.orderCount);
  });
}

test('[orders] a plan that stopped half-way is completed by its repeat', async () => {
  const bench = new Bench();
  const {lease, runner} = bench.createRunner('entry-1');
  await lease.renewOrAcquire();
  bench.store.injectFaults({method: 'put', skip: 1, fault: 'refused'});
  assert.equal(await runner.plan('r-1', STEPS), false);
  assert.equal(await runner.plan('r-1', STEPS), true);
  await finish(runner);
  assert.equal(bench.engines.sent.length, 3);
});

test('[orders] a successor goes on where the lost holder stopped', async () => {
  const bench = new Bench();
  const first = bench.createRunner('entry-1');
  const second = bench.createRunner('entry-2');
  await first.lease.renewOrAcquire();
  await second.lease.renewOrAcquire();
  await first.runner.plan('r-1', STEPS);
  await first.runner.advance('r-1');
  bench.nowMs = LEASE_MS;
  await second.lease.renewOrAcquire();
  await finish(second.runner);
  assert.deepEqual(bench.engines.sent, [
    'runner-1 1',
    'runner-2 2',
    'runner-3 2',
  ]);
});

test('[orders] a process without the lease orders nothing', async () => {
  const bench = new Bench();
  const {runner} = bench.createRunner('entry-1');
  await runner.plan('r-1', STEPS);
  const progress = await runner.advance('r-1');
  assert.equal(progress?.plannedCount, 3);
  assert.deepEqual(bench.engines.sent, []);
});

test('[orders] a holder that was paused while it read the step orders nothing', async () => {
  const bench = new Bench();
  const {lease, runner} = bench.createRunner('entry-1');
  await lease.renewOrAcquire();
  await runner.plan('r-1', STEPS);
  let wake = () => {};
  const paused = new Promise<void>(resolve => (wake = resolve));
  bench.store.injectFaults({method: 'get', holdAfter: paused});
  const advancing = runner.advance('r-1');
  bench.nowMs = LEASE_MS;
  wake();
  await advancing;
  assert.deepEqual(bench.engines.sent, []);
});

test('[orders] loads at a time are bounded by the rate of the weight store', async () => {
  const bench = new Bench();
  const {lease, runner} = bench.createRunner('entry-1', 2);
  await lease.renewOrAcquire();
  await runner.plan('r-1', STEPS);
  await finish(runner);
  assert.equal(bench.engines.maxInProgress, 2);
});

test('[orders] cancelled steps are not ordered', async () => {
  const bench = new Bench();
  const {lease, runner} = bench.createRunner('entry-1');
  await lease.renewOrAcquire();
  await runner.plan('r-1', STEPS);
  await runner.advance('r-1');
  assert.equal(await runner.cancel('r-1'), true);
  await finish(runner);
  assert.deepEqual(await bench.listLoaded(), ['v2', 'none', 'none']);
});

test('[orders] a step cancelled after the listing is not ordered', async () => {
  const bench = new Bench();
  const {lease, runner} = bench.createRunner('entry-1');
  await lease.renewOrAcquire();
  await runner.plan('r-1', STEPS);
  let goOn = () => {};
  const slow = new Promise<void>(resolve => (goOn = resolve));
  bench.store.injectFaults({method: 'list', holdAfter: slow});
  const advancing = runner.advance('r-1');
  assert.equal(await runner.cancel('r-1'), true);
  goOn();
  await advancing;
  assert.deepEqual(bench.engines.sent, []);
});

/** An order of a paused holder arrives after its successor's orders. */
async function deliverOldOrder(bench: Bench): Promise<RolloutRunner> {
  const first = bench.createRunner('entry-1');
  const second = bench.createRunner('entry-2');
  await first.lease.renewOrAcquire();
  await second.lease.renewOrAcquire();
  const step = {engine: 'runner-1', wanted: createWanted('v1')};
  await first.runner.plan('r-0', [step]);
  let deliver = () => {};
  bench.engines.hold = new Promise<void>(resolve => (deliver = resolve));
  const advancing = first.runner.advance('r-0');
  await waitUntil(() => bench.engines.hold === undefined);
  bench.nowMs = LEASE_MS;
  await second.lease.renewOrAcquire();
  await second.runner.cancel('r-0');
  await second.runner.plan('r-1', STEPS);
  await finish(second.runner);
  deliver();
  await advancing;
  return second.runner;
}

test('[orders] an engine with fencing refuses the order of a paused holder', async () => {
  const bench = new Bench();
  await deliverOldOrder(bench);
  assert.deepEqual(await bench.listLoaded(), ['v2', 'v2', 'v2']);
});

test('[orders] an engine without fencing takes an old order until the repair', async () => {
  const bench = new Bench(false);
  const successor = await deliverOldOrder(bench);
  assert.deepEqual(await bench.listLoaded(), ['v1', 'v2', 'v2']);
  assert.equal(await successor.repair('r-1'), 1);
  assert.deepEqual(await bench.listLoaded(), ['v2', 'v2', 'v2']);
  assert.equal(await successor.repair('r-1'), 0);
});

async function waitUntil(isDone: () => boolean): Promise<void> {
  while (!isDone()) await new Promise(resolve => setImmediate(resolve));
}
