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

/** Fake engines that apply orders and may ignore fencing numbers. */
class FakeEngines implements EngineOrderClient {
  readonly sent: string[] = [];
  maxInProgress = 0;
  /** Faults of the next orders, in this order; undefined for no fault. */
  faults: Array<'refused' | 'answerLost' | undefined> = [];
  /** The next order is delivered once this promise resolves. */
  hold: Promise<unknown> | undefined;

  private readonly state = new Map<string, readonly ModelVersion[]>();
  private readonly fencing = new Map<string, number>();
  private inProgressCount = 0;

  constructor(private readonly checksFencing: boolean) {}

  async send(engine: string, order: EngineOrder): Promise<OrderResult> {
    const fault = this.faults.shift();
    const {hold} = this;
    this.hold = undefined;
    this.inProgressCount += 1;
    this.maxInProgress = Math.max(this.maxInProgress, this.inProgressCount);
    await hold;
    await Promise.resolve();
    this.inProgressCount -= 1;
    if (fault === 'refused') throw new Error('connection refused');
    const current = this.fencing.get(engine) ?? 0;
    if (this.checksFencing && order.fencing < current) return 'oldFencing';
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

class Fixture {
  nowMs = 0;
  readonly store = MemoryObjectStore.create();
  readonly engines: FakeEngines;

  constructor(checksFencing = true) {
    this.engines = new FakeEngines(checksFencing);
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

async function runToCompletion(runner: RolloutRunner): Promise<void> {
  let plannedCount: number | undefined;
  while (plannedCount !== 0) {
    plannedCount = (await runner.advance('r-1'))?.plannedCount;
  }
}

interface FaultCase {
  readonly fault: string;
  readonly storeFaults?: readonly ScriptedFault[];
  readonly engineFaults?: Array<'refused' | 'answerLost' | undefined>;
  readonly orderCount: number;
}

const CASES: readonly FaultCase[] = [
  {fault: 'no fault', orderCount: 3},
  {
    fault: 'the connection for an order is refused',
    engineFaults: ['refused'],
    orderCount: 3,
  },
  {
    fault: 'an order is applied and its response is lost',
    engineFaults: ['answerLost'],
    orderCount: 4,
  },
  {
    fault: 'the write of a step takes effect and its response is lost',
    storeFaults: [{method: 'put', prefix: 'rollouts/', fault: 'answerLost'}],
    orderCount: 3,
  },
  {
    fault: 'the write of a step is refused',
    storeFaults: [{method: 'put', prefix: 'rollouts/', fault: 'refused'}],
    orderCount: 4,
  },
  {
    fault: 'the store is unavailable when the steps are listed',
    storeFaults: [{method: 'list', fault: 'refused'}],
    orderCount: 3,
  },
];

for (const testCase of CASES) {
  test(`[orders] ${testCase.fault}: the rollout finishes`, async () => {
    const fixture = new Fixture();
    const {lease, runner} = fixture.createRunner('entry-1');
    await lease.renewOrAcquire();
    assert.equal(await runner.plan('r-1', STEPS), true);
    fixture.store.injectFaults(...(testCase.storeFaults ?? []));
    fixture.engines.faults = [...(testCase.engineFaults ?? [])];
    await runToCompletion(runner);
    assert.deepEqual(await fixture.listLoaded(), ['v2', 'v2', 'v2']);
    assert.equal(fixture.engines.sent.length, testCase.orderCount);
  });
}

test('[orders] repeating a plan that was written in part completes it', async () => {
  const fixture = new Fixture();
  const {lease, runner} = fixture.createRunner('entry-1');
  await lease.renewOrAcquire();
  fixture.store.injectFaults({method: 'put', skip: 1, fault: 'refused'});
  assert.equal(await runner.plan('r-1', STEPS), false);
  assert.equal(await runner.plan('r-1', STEPS), true);
  await runToCompletion(runner);
  assert.equal(fixture.engines.sent.length, 3);
});

test('[orders] a successor continues where the lost holder stopped', async () => {
  const fixture = new Fixture();
  const first = fixture.createRunner('entry-1');
  const second = fixture.createRunner('entry-2');
  await first.lease.renewOrAcquire();
  await second.lease.renewOrAcquire();
  await first.runner.plan('r-1', STEPS);
  await first.runner.advance('r-1');
  fixture.nowMs = LEASE_MS;
  await second.lease.renewOrAcquire();
  await runToCompletion(second.runner);
  assert.deepEqual(fixture.engines.sent, [
    'runner-1 1',
    'runner-2 2',
    'runner-3 2',
  ]);
});

test('[orders] a process without the lease sends no orders', async () => {
  const fixture = new Fixture();
  const {runner} = fixture.createRunner('entry-1');
  await runner.plan('r-1', STEPS);
  const progress = await runner.advance('r-1');
  assert.equal(progress?.plannedCount, 3);
  assert.deepEqual(fixture.engines.sent, []);
});

test('[orders] a holder whose lease expires while it reads a step sends no order', async () => {
  const fixture = new Fixture();
  const {lease, runner} = fixture.createRunner('entry-1');
  await lease.renewOrAcquire();
  await runner.plan('r-1', STEPS);
  let resume = () => {};
  const paused = new Promise<void>(resolve => (resume = resolve));
  fixture.store.injectFaults({method: 'get', holdAfter: paused});
  const advancing = runner.advance('r-1');
  fixture.nowMs = LEASE_MS;
  resume();
  await advancing;
  assert.deepEqual(fixture.engines.sent, []);
});

test('[orders] concurrent loads are limited, as the rate of the weight store is limited', async () => {
  const fixture = new Fixture();
  const {lease, runner} = fixture.createRunner('entry-1', 2);
  await lease.renewOrAcquire();
  await runner.plan('r-1', STEPS);
  await runToCompletion(runner);
  assert.equal(fixture.engines.maxInProgress, 2);
});

test('[orders] cancelled steps are not ordered', async () => {
  const fixture = new Fixture();
  const {lease, runner} = fixture.createRunner('entry-1');
  await lease.renewOrAcquire();
  await runner.plan('r-1', STEPS);
  await runner.advance('r-1');
  assert.equal(await runner.cancel('r-1'), true);
  await runToCompletion(runner);
  assert.deepEqual(await fixture.listLoaded(), ['v2', 'none', 'none']);
});

test('[orders] a step cancelled after the listing is not ordered', async () => {
  const fixture = new Fixture();
  const {lease, runner} = fixture.createRunner('entry-1');
  await lease.renewOrAcquire();
  await runner.plan('r-1', STEPS);
  let resume = () => {};
  const paused = new Promise<void>(resolve => (resume = resolve));
  fixture.store.injectFaults({method: 'list', holdAfter: paused});
  const advancing = runner.advance('r-1');
  assert.equal(await runner.cancel('r-1'), true);
  resume();
  await advancing;
  assert.deepEqual(fixture.engines.sent, []);
});

/** Delivers an order of a paused holder after the orders of its successor. */
async function deliverLateOrder(fixture: Fixture): Promise<RolloutRunner> {
  const first = fixture.createRunner('entry-1');
  const second = fixture.createRunner('entry-2');
  await first.lease.renewOrAcquire();
  await second.lease.renewOrAcquire();
  const step = {engine: 'runner-1', wanted: createWanted('v1')};
  await first.runner.plan('r-0', [step]);
  let deliver = () => {};
  fixture.engines.hold = new Promise<void>(resolve => (deliver = resolve));
  const advancing = first.runner.advance('r-0');
  await waitUntil(() => fixture.engines.hold === undefined);
  fixture.nowMs = LEASE_MS;
  await second.lease.renewOrAcquire();
  await second.runner.cancel('r-0');
  await second.runner.plan('r-1', STEPS);
  await runToCompletion(second.runner);
  deliver();
  await advancing;
  return second.runner;
}

test('[orders] an engine that checks fencing numbers refuses the late order of a paused holder', async () => {
  const fixture = new Fixture();
  await deliverLateOrder(fixture);
  assert.deepEqual(await fixture.listLoaded(), ['v2', 'v2', 'v2']);
});

test('[orders] an engine that ignores fencing numbers applies a late order until repair reverts it', async () => {
  const fixture = new Fixture(false);
  const successor = await deliverLateOrder(fixture);
  assert.deepEqual(await fixture.listLoaded(), ['v1', 'v2', 'v2']);
  assert.equal(await successor.repair('r-1'), 1);
  assert.deepEqual(await fixture.listLoaded(), ['v2', 'v2', 'v2']);
  assert.equal(await successor.repair('r-1'), 0);
});

async function waitUntil(isDone: () => boolean): Promise<void> {
  while (!isDone()) await new Promise(resolve => setImmediate(resolve));
}
