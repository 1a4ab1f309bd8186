import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  isRouterError,
  type CallResult,
  type ErrorCode,
  type Execution,
} from '@anvilrudder/core';
import {
  createClaimManager,
  type ClaimManager,
} from '../../src/control/claims/claim_manager.js';
import {
  MemoryObjectStore,
  type ScriptedFault,
} from '../support/memory_object_store.js';

const ANSWER = {httpStatus: 200, contentType: 'text/plain', body: 'booked'};

/** A booking service that counts its executions. */
class CountingService {
  executionCount = 0;

  constructor(private readonly faults: ServiceFault[]) {}

  async send(): Promise<CallResult> {
    const fault = this.faults.shift();
    if (fault === 'refuses') return {status: 'notRun'};
    if (fault === 'cutBefore') throw new Error('connection lost');
    this.executionCount += 1;
    if (fault === 'cutAfter') throw new Error('connection lost');
    return await Promise.resolve({status: 'answered', answer: ANSWER});
  }
}

type ServiceFault = 'refuses' | 'cutBefore' | 'cutAfter';
type Told = 'answer' | 'replay' | ErrorCode;

interface Bench {
  readonly store: MemoryObjectStore;
  readonly service: CountingService;
  readonly first: ClaimManager;
  readonly second: ClaimManager;
}

function createBench(
  faults: readonly ScriptedFault[] = [],
  serviceFaults: readonly ServiceFault[] = [],
  isFirstGone = false,
): Bench {
  const store = MemoryObjectStore.create();
  store.injectFaults(...faults);
  const isMemberGone = () => isFirstGone;
  const createKeeper = (host: string) =>
    createClaimManager({
      store,
      member: {host, incarnation: `${host}-1`},
      random: () => 0.5,
      isMemberGone,
    });
  return {
    store,
    service: new CountingService([...serviceFaults]),
    first: createKeeper('entry-1'),
    second: createKeeper('entry-2'),
  };
}

interface Reply {
  readonly told: Told;
  readonly execution: Execution;
}

async function confirm(
  keeper: ClaimManager,
  service: CountingService,
  requestDigest = 'digest',
): Promise<Reply> {
  try {
    const outcome = await keeper.runOnce({
      idempotencyKey: 'order-7',
      organisation: 'hanbit',
      requestDigest,
      deadlineMs: Infinity,
      send: () => service.send(),
    });
    assert.deepEqual(outcome.answer, ANSWER);
    return {told: outcome.isReplay ? 'replay' : 'answer', execution: 'ran'};
  } catch (error) {
    assert.ok(isRouterError(error), String(error));
    return {told: error.code, execution: error.execution};
  }
}

interface Row {
  readonly fault: string;
  readonly store?: readonly ScriptedFault[];
  readonly service?: readonly ServiceFault[];
  readonly isFirstGone?: boolean;
  readonly first: Told;
  readonly second: Told;
  readonly executions: number;
}

const ROWS: readonly Row[] = [
  {fault: 'no fault', first: 'answer', second: 'replay', executions: 1},
  {
    fault: 'the claim takes effect and its answer is lost',
    store: [{method: 'put', fault: 'answerLost'}],
    first: 'answer',
    second: 'replay',
    executions: 1,
  },
  {
    fault: 'the claim is lost on its way',
    store: [{method: 'put', fault: 'requestLost'}],
    first: 'answer',
    second: 'replay',
    executions: 1,
  },
  {
    fault: 'the store is out for the first claim',
    store: [{method: 'put', fault: 'refused'}],
    first: 'platform_unavailable',
    second: 'answer',
    executions: 1,
  },
  {
    fault: 'the claim takes effect and every answer is lost',
    store: [
      {method: 'put', fault: 'answerLost'},
      {method: 'put', fault: 'answerLost'},
      {method: 'put', fault: 'answerLost'},
    ],
    first: 'platform_unavailable',
    second: 'call_in_progress',
    executions: 0,
  },
  {
    fault: 'the record of the answer is refused, holder alive',
    store: [{method: 'put', skip: 1, fault: 'refused'}],
    first: 'answer',
    second: 'call_in_progress',
    executions: 1,
  },
  {
    fault: 'the record of the answer is refused, holder gone',
    store: [{method: 'put', skip: 1, fault: 'refused'}],
    isFirstGone: true,
    first: 'answer',
    second: 'outcome_unknown',
    executions: 1,
  },
  {
    fault: 'the record takes effect and its answer is lost',
    store: [{method: 'put', skip: 1, fault: 'answerLost'}],
    first: 'answer',
    second: 'replay',
    executions: 1,
  },
  {
    fault: 'the backend server says that nothing ran',
    service: ['refuses'],
    first: 'backend_refused',
    second: 'answer',
    executions: 1,
  },
  {
    fault: 'the connection is lost before the server ran the call',
    service: ['cutBefore'],
    first: 'outcome_unknown',
    second: 'outcome_unknown',
    executions: 0,
  },
  {
    fault: 'the connection is lost after the server ran the call',
    service: ['cutAfter'],
    first: 'outcome_unknown',
    second: 'outcome_unknown',
    executions: 1,
  },
  {
    fault: 'the release of a refused call is refused',
    store: [{method: 'put', skip: 1, fault: 'refused'}],
    service: ['refuses'],
    first: 'backend_refused',
    second: 'call_in_progress',
    executions: 0,
  },
];

for (const row of ROWS) {
  test(`[at-most-once] ${row.fault}: ${row.first}, then ${row.second}`, async () => {
    const bench = createBench(row.store, row.service, row.isFirstGone);
    const first = await confirm(bench.first, bench.service);
    const ranAtFirst = bench.service.executionCount;
    const second = await confirm(bench.second, bench.service);
    bench.first.stop();
    assert.equal(first.told, row.first);
    assert.equal(second.told, row.second);
    assert.equal(bench.service.executionCount, row.executions);
    if (first.execution === 'notRun') assert.equal(ranAtFirst, 0);
  });
}

test('[at-most-once] one key at two entries at once runs once', async () => {
  const bench = createBench();
  const told = await Promise.all([
    confirm(bench.first, bench.service),
    confirm(bench.second, bench.service),
  ]);
  assert.deepEqual(told.map(t => t.told).sort(), [
    'answer',
    'call_in_progress',
  ]);
  assert.equal(bench.service.executionCount, 1);
});

test('[at-most-once] one key twice at one entry at once runs once', async () => {
  const bench = createBench([{method: 'put', fault: 'answerLost'}]);
  await Promise.all([
    confirm(bench.first, bench.service),
    confirm(bench.first, bench.service),
  ]);
  assert.equal(bench.service.executionCount, 1);
});

test('[at-most-once] a key with another body is refused', async () => {
  const bench = createBench();
  await confirm(bench.first, bench.service);
  const second = await confirm(bench.second, bench.service, 'other digest');
  assert.deepEqual(second, {told: 'key_reused', execution: 'notRun'});
  assert.equal(bench.service.executionCount, 1);
});

test('[not-run] a holder paused past its deadline sends nothing and frees the key', async () => {
  const store = MemoryObjectStore.create();
  const service = new CountingService([]);
  let nowMs = 0;
  let wake = () => {};
  const paused = new Promise<void>(resolve => (wake = resolve));
  store.injectFaults({method: 'put', holdAfter: paused});
  const keeper = createClaimManager({
    store,
    member: {host: 'entry-1', incarnation: 'entry-1-1'},
    nowMs: () => nowMs,
  });
  const first = keeper.runOnce({
    idempotencyKey: 'order-7',
    organisation: 'hanbit',
    requestDigest: 'digest',
    deadlineMs: 1000,
    send: () => service.send(),
  });
  nowMs = 5000;
  wake();
  await assert.rejects(
    first,
    error => isRouterError(error) && error.execution === 'notRun',
  );
  assert.equal(service.executionCount, 0);
  const other = createClaimManager({
    store,
    member: {host: 'entry-2', incarnation: 'entry-2-1'},
  });
  assert.equal((await confirm(other, service)).told, 'answer');
});

test('[at-most-once] a paused holder that wakes does not settle the claim of another', async () => {
  const bench = createBench(
    [{method: 'put', skip: 1, fault: 'refused'}],
    ['refuses'],
  );
  await confirm(bench.first, bench.service);
  const key = bench.store.keys('claims/')[0];
  const released = {...JSON.parse(bench.store.peek(key)!), state: 'released'};
  await bench.store.put(key, JSON.stringify(released), {kind: 'any'});
  assert.equal((await confirm(bench.second, bench.service)).told, 'answer');
  const settled = bench.store.peek(key);
  await waitUntil(() => bench.first.status().unfinishedCount === 0);
  assert.equal(bench.store.peek(key), settled);
});

test('[not-run] a slow store refuses the call in time and frees a late claim', async () => {
  const store = MemoryObjectStore.create();
  const service = new CountingService([]);
  let answer = () => {};
  const slow = new Promise<void>(resolve => (answer = resolve));
  store.injectFaults({method: 'put', holdBefore: slow});
  const keeper = createClaimManager({
    store,
    member: {host: 'entry-1', incarnation: 'entry-1-1'},
    acquireWaitMs: 5,
  });
  const refused = await confirm(keeper, service);
  assert.deepEqual(refused, {
    told: 'platform_unavailable',
    execution: 'notRun',
  });
  answer();
  await waitUntil(() => {
    const key = store.keys('claims/')[0];
    return key !== undefined && store.peek(key)!.includes('released');
  });
  assert.equal(service.executionCount, 0);
  assert.equal((await confirm(keeper, service)).told, 'answer');
});

test('[not-run] a claim in doubt is freed once the store answers again', async () => {
  const bench = createBench(
    [1, 2, 3].map(() => ({method: 'put', fault: 'answerLost'})),
  );
  const first = await confirm(bench.first, bench.service);
  assert.deepEqual(first, {told: 'platform_unavailable', execution: 'notRun'});
  await waitUntil(() => bench.first.status().unfinishedCount === 0);
  assert.equal((await confirm(bench.second, bench.service)).told, 'answer');
  assert.equal(bench.service.executionCount, 1);
});

async function waitUntil(isDone: () => boolean): Promise<void> {
  while (!isDone()) await new Promise(resolve => setTimeout(resolve, 5));
}
