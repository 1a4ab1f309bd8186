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
type ReplyCode = 'answer' | 'replay' | ErrorCode;

interface Fixture {
  readonly store: MemoryObjectStore;
  readonly service: CountingService;
  readonly firstManager: ClaimManager;
  readonly secondManager: ClaimManager;
}

function createFixture(
  faults: readonly ScriptedFault[] = [],
  serviceFaults: readonly ServiceFault[] = [],
  isFirstGone = false,
): Fixture {
  const store = MemoryObjectStore.create();
  store.injectFaults(...faults);
  const isMemberGone = () => isFirstGone;
  const createManager = (host: string) =>
    createClaimManager({
      store,
      member: {host, incarnation: `${host}-1`},
      random: () => 0.5,
      isMemberGone,
    });
  return {
    store,
    service: new CountingService([...serviceFaults]),
    firstManager: createManager('entry-1'),
    secondManager: createManager('entry-2'),
  };
}

interface Reply {
  readonly code: ReplyCode;
  readonly execution: Execution;
}

async function callService(
  manager: ClaimManager,
  service: CountingService,
  requestDigest = 'digest',
): Promise<Reply> {
  try {
    const outcome = await manager.runOnce({
      idempotencyKey: 'order-7',
      organisation: 'hanbit',
      requestDigest,
      deadlineMs: Infinity,
      send: () => service.send(),
    });
    assert.deepEqual(outcome.answer, ANSWER);
    return {code: outcome.isReplay ? 'replay' : 'answer', execution: 'ran'};
  } catch (error) {
    assert.ok(isRouterError(error), String(error));
    return {code: error.code, execution: error.execution};
  }
}

interface FaultCase {
  readonly fault: string;
  readonly storeFaults?: readonly ScriptedFault[];
  readonly serviceFaults?: readonly ServiceFault[];
  readonly isFirstGone?: boolean;
  readonly firstCode: ReplyCode;
  readonly secondCode: ReplyCode;
  readonly executionCount: number;
}

const CASES: readonly FaultCase[] = [
  {
    fault: 'no fault',
    firstCode: 'answer',
    secondCode: 'replay',
    executionCount: 1,
  },
  {
    fault: 'the write of the claim takes effect and its response is lost',
    storeFaults: [{method: 'put', fault: 'answerLost'}],
    firstCode: 'answer',
    secondCode: 'replay',
    executionCount: 1,
  },
  {
    fault: 'the request that writes the claim is lost',
    storeFaults: [{method: 'put', fault: 'requestLost'}],
    firstCode: 'answer',
    secondCode: 'replay',
    executionCount: 1,
  },
  {
    fault: 'the store is unavailable for the first claim',
    storeFaults: [{method: 'put', fault: 'refused'}],
    firstCode: 'platform_unavailable',
    secondCode: 'answer',
    executionCount: 1,
  },
  {
    fault: 'the write of the claim takes effect and all its responses are lost',
    storeFaults: [
      {method: 'put', fault: 'answerLost'},
      {method: 'put', fault: 'answerLost'},
      {method: 'put', fault: 'answerLost'},
    ],
    firstCode: 'platform_unavailable',
    secondCode: 'call_in_progress',
    executionCount: 0,
  },
  {
    fault: 'the write of the answer is refused and the holder still runs',
    storeFaults: [{method: 'put', skip: 1, fault: 'refused'}],
    firstCode: 'answer',
    secondCode: 'call_in_progress',
    executionCount: 1,
  },
  {
    fault: 'the write of the answer is refused and the holder no longer runs',
    storeFaults: [{method: 'put', skip: 1, fault: 'refused'}],
    isFirstGone: true,
    firstCode: 'answer',
    secondCode: 'outcome_unknown',
    executionCount: 1,
  },
  {
    fault: 'the write of the answer takes effect and its response is lost',
    storeFaults: [{method: 'put', skip: 1, fault: 'answerLost'}],
    firstCode: 'answer',
    secondCode: 'replay',
    executionCount: 1,
  },
  {
    fault: 'the backend server reports that the call did not run',
    serviceFaults: ['refuses'],
    firstCode: 'backend_refused',
    secondCode: 'answer',
    executionCount: 1,
  },
  {
    fault: 'the connection is lost before the backend server ran the call',
    serviceFaults: ['cutBefore'],
    firstCode: 'outcome_unknown',
    secondCode: 'outcome_unknown',
    executionCount: 0,
  },
  {
    fault: 'the connection is lost after the backend server ran the call',
    serviceFaults: ['cutAfter'],
    firstCode: 'outcome_unknown',
    secondCode: 'outcome_unknown',
    executionCount: 1,
  },
  {
    fault: 'the release of the claim of a refused call is refused',
    storeFaults: [{method: 'put', skip: 1, fault: 'refused'}],
    serviceFaults: ['refuses'],
    firstCode: 'backend_refused',
    secondCode: 'call_in_progress',
    executionCount: 0,
  },
];

for (const testCase of CASES) {
  test(`[at-most-once] ${testCase.fault}: ${testCase.firstCode}, then ${testCase.secondCode}`, async () => {
    const fixture = createFixture(
      testCase.storeFaults,
      testCase.serviceFaults,
      testCase.isFirstGone,
    );
    const first = await callService(fixture.firstManager, fixture.service);
    const executionsAfterFirst = fixture.service.executionCount;
    const second = await callService(fixture.secondManager, fixture.service);
    fixture.firstManager.stop();
    assert.equal(first.code, testCase.firstCode);
    assert.equal(second.code, testCase.secondCode);
    assert.equal(fixture.service.executionCount, testCase.executionCount);
    if (first.execution === 'notRun') assert.equal(executionsAfterFirst, 0);
  });
}

test('[at-most-once] concurrent calls with one key at two entries run once', async () => {
  const fixture = createFixture();
  const replies = await Promise.all([
    callService(fixture.firstManager, fixture.service),
    callService(fixture.secondManager, fixture.service),
  ]);
  assert.deepEqual(replies.map(reply => reply.code).sort(), [
    'answer',
    'call_in_progress',
  ]);
  assert.equal(fixture.service.executionCount, 1);
});

test('[at-most-once] concurrent calls with one key at one entry run once', async () => {
  const fixture = createFixture([{method: 'put', fault: 'answerLost'}]);
  await Promise.all([
    callService(fixture.firstManager, fixture.service),
    callService(fixture.firstManager, fixture.service),
  ]);
  assert.equal(fixture.service.executionCount, 1);
});

test('[at-most-once] a key that is reused with another request is refused', async () => {
  const fixture = createFixture();
  await callService(fixture.firstManager, fixture.service);
  const second = await callService(
    fixture.secondManager,
    fixture.service,
    'other digest',
  );
  assert.deepEqual(second, {code: 'key_reused', execution: 'notRun'});
  assert.equal(fixture.service.executionCount, 1);
});

test('[not-run] a holder paused past the deadline of its call sends nothing and releases the claim', async () => {
  const store = MemoryObjectStore.create();
  const service = new CountingService([]);
  let nowMs = 0;
  let resume = () => {};
  const paused = new Promise<void>(resolve => (resume = resolve));
  store.injectFaults({method: 'put', holdAfter: paused});
  const manager = createClaimManager({
    store,
    member: {host: 'entry-1', incarnation: 'entry-1-1'},
    nowMs: () => nowMs,
  });
  const first = manager.runOnce({
    idempotencyKey: 'order-7',
    organisation: 'hanbit',
    requestDigest: 'digest',
    deadlineMs: 1000,
    send: () => service.send(),
  });
  nowMs = 5000;
  resume();
  await assert.rejects(
    first,
    error => isRouterError(error) && error.execution === 'notRun',
  );
  assert.equal(service.executionCount, 0);
  const otherManager = createClaimManager({
    store,
    member: {host: 'entry-2', incarnation: 'entry-2-1'},
  });
  assert.equal((await callService(otherManager, service)).code, 'answer');
});

test('[at-most-once] a late release by an earlier holder does not change the claim of another', async () => {
  const fixture = createFixture(
    [{method: 'put', skip: 1, fault: 'refused'}],
    ['refuses'],
  );
  await callService(fixture.firstManager, fixture.service);
  const key = fixture.store.keys('claims/')[0];
  const releasedClaim = {
    ...JSON.parse(fixture.store.peek(key)!),
    state: 'released',
  };
  await fixture.store.put(key, JSON.stringify(releasedClaim), {kind: 'any'});
  assert.equal(
    (await callService(fixture.secondManager, fixture.service)).code,
    'answer',
  );
  const valueAfterSecond = fixture.store.peek(key);
  await waitUntil(() => fixture.firstManager.status().unfinishedCount === 0);
  assert.equal(fixture.store.peek(key), valueAfterSecond);
});

test('[not-run] with a slow store a call is refused in time and its late claim is released', async () => {
  const store = MemoryObjectStore.create();
  const service = new CountingService([]);
  let resume = () => {};
  const paused = new Promise<void>(resolve => (resume = resolve));
  store.injectFaults({method: 'put', holdBefore: paused});
  const manager = createClaimManager({
    store,
    member: {host: 'entry-1', incarnation: 'entry-1-1'},
    acquireWaitMs: 5,
  });
  const reply = await callService(manager, service);
  assert.deepEqual(reply, {
    code: 'platform_unavailable',
    execution: 'notRun',
  });
  resume();
  await waitUntil(() => {
    const key = store.keys('claims/')[0];
    return key !== undefined && store.peek(key)!.includes('released');
  });
  assert.equal(service.executionCount, 0);
  assert.equal((await callService(manager, service)).code, 'answer');
});

test('[not-run] a claim whose write is in doubt is released once the store responds again', async () => {
  const fixture = createFixture(
    [1, 2, 3].map(() => ({method: 'put', fault: 'answerLost'})),
  );
  const first = await callService(fixture.firstManager, fixture.service);
  assert.deepEqual(first, {code: 'platform_unavailable', execution: 'notRun'});
  await waitUntil(() => fixture.firstManager.status().unfinishedCount === 0);
  assert.equal(
    (await callService(fixture.secondManager, fixture.service)).code,
    'answer',
  );
  assert.equal(fixture.service.executionCount, 1);
});

async function waitUntil(isDone: () => boolean): Promise<void> {
  while (!isDone()) await new Promise(resolve => setTimeout(resolve, 5));
}
