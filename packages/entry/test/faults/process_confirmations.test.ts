import assert from 'node:assert/strict';
import {after, afterEach, before, test} from 'node:test';
import type {EntryProcess} from '../support/entry_process.js';
import {
  startProcessDeployment,
  waitForReady,
  type ProcessDeployment,
} from '../support/process_deployment.js';
import {callBookingService} from '../support/test_caller.js';
import {waitUntil} from '../support/test_deployment.js';

const SERVICE_DELAY_MS = 600;
const STORE_DELAY_MS = 150;
/** `timeout-ms` of the booking service in the test rules. */
const SERVICE_TIMEOUT_MS = 2000;

let deployment: ProcessDeployment;
let entries: EntryProcess[];
let keyCount = 0;

before(async () => {
  deployment = await startProcessDeployment();
  entries = [...deployment.entries];
});

after(() => deployment.stop());

afterEach(async () => {
  deployment.objects.setFaults({
    isDown: false,
    delayMs: 0,
    loseWriteAnswers: 0,
    loseWrites: 0,
  });
  deployment.booking.setFaults({delayMs: 0, dropAfterRun: 0, dropBeforeRun: 0});
  await Promise.all(
    entries.map(({callerAddress}) => waitForReady(callerAddress, 1)),
  );
});

function createKey(): string {
  keyCount += 1;
  return `process-key-${keyCount}`;
}

function countExecutions(key: string): number {
  return deployment.booking.executions()[key] ?? 0;
}

interface Reply {
  readonly httpStatus: number;
  /** `answer`, the error code, or `lost` when the connection broke. */
  readonly code: string;
  readonly execution: string;
  readonly hasRetryAfter: boolean;
}

async function callService(entry: EntryProcess, key: string): Promise<Reply> {
  let answer;
  try {
    answer = await callBookingService(entry.callerAddress, key);
  } catch {
    return {httpStatus: 0, code: 'lost', execution: '', hasRetryAfter: false};
  }
  const {error} = JSON.parse(answer.body) as {
    readonly error?: {
      readonly code: string;
      readonly execution: string;
      readonly retryAfterMs?: number;
    };
  };
  return {
    httpStatus: answer.httpStatus,
    code: error?.code ?? 'answer',
    execution: error?.execution ?? 'ran',
    hasRetryAfter: error?.retryAfterMs !== undefined,
  };
}

// Possible codes of a call whose key was used by a call with an open outcome.
const LATER_CALL_CODES = ['answer', 'call_in_progress', 'outcome_unknown'];

async function killAndRestart(index: number): Promise<void> {
  await entries[index].kill();
  entries[index] = await deployment.restartEntry(deployment.entries[index]);
}

test('[at-most-once] concurrent calls with one key at every entry run once', async () => {
  deployment.booking.setFaults({delayMs: SERVICE_DELAY_MS});
  const key = createKey();
  const replies = await Promise.all(
    entries.map(entry => callService(entry, key)),
  );
  assert.equal(countExecutions(key), 1);
  assert.ok(replies.some(({code}) => code === 'answer'));
  for (const {code} of replies)
    assert.ok(LATER_CALL_CODES.includes(code), code);
  const later = await callService(entries[1], key);
  assert.equal(later.code, 'answer');
  assert.equal(countExecutions(key), 1);
});

const KILL_CASES = [
  {
    moment: 'while it writes its claim',
    prepare: () => deployment.objects.setFaults({delayMs: STORE_DELAY_MS}),
    isReached: (writesBefore: number) =>
      deployment.objects.counters().writes > writesBefore,
    executionCounts: [0, 1],
    codes: LATER_CALL_CODES,
  },
  {
    moment: 'while the service runs the call',
    prepare: () => deployment.booking.setFaults({delayMs: SERVICE_DELAY_MS}),
    isReached: (_: number, key: string) => countExecutions(key) === 1,
    executionCounts: [1],
    codes: ['call_in_progress', 'outcome_unknown'],
  },
] as const;

for (const {moment, prepare, isReached, executionCounts, codes} of KILL_CASES) {
  test(`[at-most-once] an entry killed ${moment}: the call runs at most once`, async () => {
    const key = createKey();
    const writesBefore = deployment.objects.counters().writes;
    prepare();
    const first = callService(entries[0], key);
    await waitUntil(() => isReached(writesBefore, key), moment);
    await entries[0].kill();
    assert.equal((await first).code, 'lost');
    const second = await callService(entries[1], key);
    assert.ok((codes as readonly string[]).includes(second.code), second.code);
    deployment.objects.setFaults({delayMs: 0});
    entries[0] = await deployment.restartEntry(deployment.entries[0]);
    const third = await callService(entries[0], key);
    assert.ok((codes as readonly string[]).includes(third.code), third.code);
    assert.ok(
      (executionCounts as readonly number[]).includes(countExecutions(key)),
    );
  });
}

test('[at-most-once] an entry killed after the answer: later calls get the recorded answer', async () => {
  const key = createKey();
  assert.equal((await callService(entries[0], key)).code, 'answer');
  await waitUntil(async () => {
    const reply = await callService(entries[1], key);
    return reply.code === 'answer';
  }, 'the answer is recorded');
  await killAndRestart(0);
  assert.equal((await callService(entries[0], key)).code, 'answer');
  assert.equal(countExecutions(key), 1);
});

test('[not-run] the store down: a call is refused at once as notRun, with a retry time', async () => {
  const key = createKey();
  deployment.objects.setFaults({isDown: true});
  const refused = await callService(entries[0], key);
  assert.equal(refused.execution, 'notRun', refused.code);
  assert.ok(refused.hasRetryAfter);
  assert.equal(countExecutions(key), 0);
  deployment.objects.setFaults({isDown: false});
  await waitUntil(
    async () => (await callService(entries[1], key)).code === 'answer',
    'a call with the key runs after the store recovers',
  );
  assert.equal(countExecutions(key), 1);
});

test('[at-most-once] the write of the claim takes effect and its response is lost: the call runs at most once', async () => {
  const key = createKey();
  deployment.objects.setFaults({loseWriteAnswers: 2});
  const first = await callService(entries[0], key);
  const second = await callService(entries[1], key);
  assert.ok(countExecutions(key) <= 1);
  if (first.execution === 'notRun') assert.equal(first.hasRetryAfter, true);
  else assert.equal(countExecutions(key), 1);
  assert.ok(LATER_CALL_CODES.includes(second.code), second.code);
});

test('[at-most-once] a paused holder that resumes neither runs the call twice nor loses it', async () => {
  const key = createKey();
  deployment.booking.setFaults({delayMs: SERVICE_DELAY_MS});
  const first = callService(entries[0], key);
  await waitUntil(
    () => countExecutions(key) === 1,
    'the service runs the call',
  );
  entries[0].pause();
  const second = await callService(entries[1], key);
  assert.notEqual(second.code, 'answer');
  assert.ok(LATER_CALL_CODES.includes(second.code), second.code);
  entries[0].resume();
  await first;
  const third = await callService(entries[2], key);
  assert.ok(LATER_CALL_CODES.includes(third.code), third.code);
  assert.equal(countExecutions(key), 1);
});

test('[not-run] a holder paused past the deadline of its call: notRun is reported only if the call did not run', async () => {
  const key = createKey();
  const writesBefore = deployment.objects.counters().writes;
  deployment.objects.setFaults({delayMs: STORE_DELAY_MS});
  const startedAtMs = performance.now();
  const first = callService(entries[0], key);
  await waitUntil(
    () => deployment.objects.counters().writes > writesBefore,
    'the entry writes its claim',
  );
  entries[0].pause();
  deployment.objects.setFaults({delayMs: 0});
  await waitUntil(
    () => performance.now() > startedAtMs + SERVICE_TIMEOUT_MS,
    'the deadline of the call passes',
  );
  const replyDuringPause = await callService(entries[1], key);
  const executionsBefore = countExecutions(key);
  entries[0].resume();
  const firstReply = await first;
  if (firstReply.execution === 'notRun')
    assert.equal(countExecutions(key), executionsBefore);
  assert.ok(
    LATER_CALL_CODES.includes(replyDuringPause.code),
    replyDuringPause.code,
  );
  await waitUntil(
    async () => (await callService(entries[2], key)).code === 'answer',
    'the key is released or its call has an answer',
  );
  assert.equal(countExecutions(key), 1);
});

test('[at-most-once] the service cuts the connection after it ran the call: the outcome is unknown and the call is not repeated', async () => {
  const key = createKey();
  deployment.booking.setFaults({dropAfterRun: 1});
  const first = await callService(entries[0], key);
  assert.equal(first.execution, 'unknown', first.code);
  const second = await callService(entries[1], key);
  assert.equal(second.code, 'outcome_unknown');
  assert.equal(countExecutions(key), 1);
});
