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
/** The `timeout-ms` of the service in the rules. */
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

function countRuns(key: string): number {
  return deployment.booking.executions()[key] ?? 0;
}

interface Told {
  readonly httpStatus: number;
  /** `answer`, the error code, or `lost` when the connection broke. */
  readonly code: string;
  readonly execution: string;
  readonly hasRetry: boolean;
}

async function call(entry: EntryProcess, key: string): Promise<Told> {
  let answer;
  try {
    answer = await callBookingService(entry.callerAddress, key);
  } catch {
    return {httpStatus: 0, code: 'lost', execution: '', hasRetry: false};
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
    hasRetry: error?.retryAfterMs !== undefined,
  };
}

// What a later call with the key of a call whose fate is open may be told.
const LATER_CODES = ['answer', 'call_in_progress', 'outcome_unknown'];

async function replace(index: number): Promise<void> {
  await entries[index].kill();
  entries[index] = await deployment.restartEntry(deployment.entries[index]);
}

test('[at-most-once] one key at every entry at once runs once', async () => {
  deployment.booking.setFaults({delayMs: SERVICE_DELAY_MS});
  const key = createKey();
  const told = await Promise.all(entries.map(entry => call(entry, key)));
  assert.equal(countRuns(key), 1);
  assert.ok(told.some(({code}) => code === 'answer'));
  for (const {code} of told) assert.ok(LATER_CODES.includes(code), code);
  const later = await call(entries[1], key);
  assert.equal(later.code, 'answer');
  assert.equal(countRuns(key), 1);
});

const KILLS = [
  {
    moment: 'while its claim is on the way',
    prepare: () => deployment.objects.setFaults({delayMs: STORE_DELAY_MS}),
    isReached: (writesBefore: number) =>
      deployment.objects.counters().writes > writesBefore,
    runs: [0, 1],
    codes: LATER_CODES,
  },
  {
    moment: 'while the service runs the call',
    prepare: () => deployment.booking.setFaults({delayMs: SERVICE_DELAY_MS}),
    isReached: (_: number, key: string) => countRuns(key) === 1,
    runs: [1],
    codes: ['call_in_progress', 'outcome_unknown'],
  },
] as const;

for (const {moment, prepare, isReached, runs, codes} of KILLS) {
  test(`[at-most-once] an entry killed ${moment}: a second try never runs it again`, async () => {
    const key = createKey();
    const writesBefore = deployment.objects.counters().writes;
    prepare();
    const first = call(entries[0], key);
    await waitUntil(() => isReached(writesBefore, key), moment);
    await entries[0].kill();
    assert.equal((await first).code, 'lost');
    const second = await call(entries[1], key);
    assert.ok((codes as readonly string[]).includes(second.code), second.code);
    deployment.objects.setFaults({delayMs: 0});
    entries[0] = await deployment.restartEntry(deployment.entries[0]);
    const third = await call(entries[0], key);
    assert.ok((codes as readonly string[]).includes(third.code), third.code);
    assert.ok((runs as readonly number[]).includes(countRuns(key)));
  });
}

test('[at-most-once] an entry killed after the answer: the record is told', async () => {
  const key = createKey();
  assert.equal((await call(entries[0], key)).code, 'answer');
  await waitUntil(async () => {
    const told = await call(entries[1], key);
    return told.code === 'answer';
  }, 'the record is written');
  await replace(0);
  assert.equal((await call(entries[0], key)).code, 'answer');
  assert.equal(countRuns(key), 1);
});

test('[not-run] the store down: refused at once as not run, with a time to retry', async () => {
  const key = createKey();
  deployment.objects.setFaults({isDown: true});
  const refused = await call(entries[0], key);
  assert.equal(refused.execution, 'notRun', refused.code);
  assert.ok(refused.hasRetry);
  assert.equal(countRuns(key), 0);
  deployment.objects.setFaults({isDown: false});
  await waitUntil(
    async () => (await call(entries[1], key)).code === 'answer',
    'the key runs once the store is back',
  );
  assert.equal(countRuns(key), 1);
});

test('[at-most-once] the claim took effect and its answer was lost: it runs once', async () => {
  const key = createKey();
  deployment.objects.setFaults({loseWriteAnswers: 2});
  const first = await call(entries[0], key);
  const second = await call(entries[1], key);
  assert.ok(countRuns(key) <= 1);
  if (first.execution === 'notRun') assert.equal(first.hasRetry, true);
  else assert.equal(countRuns(key), 1);
  assert.ok(LATER_CODES.includes(second.code), second.code);
});

test('[at-most-once] a frozen holder that wakes neither runs the call twice nor loses it', async () => {
  const key = createKey();
  deployment.booking.setFaults({delayMs: SERVICE_DELAY_MS});
  const first = call(entries[0], key);
  await waitUntil(() => countRuns(key) === 1, 'the service runs the call');
  entries[0].pause();
  const second = await call(entries[1], key);
  assert.notEqual(second.code, 'answer');
  assert.ok(LATER_CODES.includes(second.code), second.code);
  entries[0].resume();
  await first;
  const third = await call(entries[2], key);
  assert.ok(LATER_CODES.includes(third.code), third.code);
  assert.equal(countRuns(key), 1);
});

test('[not-run] a holder frozen past the deadline of its call: not run is said only of no run', async () => {
  const key = createKey();
  const writesBefore = deployment.objects.counters().writes;
  deployment.objects.setFaults({delayMs: STORE_DELAY_MS});
  const startedAtMs = performance.now();
  const first = call(entries[0], key);
  await waitUntil(
    () => deployment.objects.counters().writes > writesBefore,
    'the claim is on its way',
  );
  entries[0].pause();
  deployment.objects.setFaults({delayMs: 0});
  await waitUntil(
    () => performance.now() > startedAtMs + SERVICE_TIMEOUT_MS,
    'the deadline of the call passes',
  );
  const during = await call(entries[1], key);
  const runsBefore = countRuns(key);
  entries[0].resume();
  const told = await first;
  if (told.execution === 'notRun') assert.equal(countRuns(key), runsBefore);
  assert.ok(LATER_CODES.includes(during.code), during.code);
  await waitUntil(
    async () => (await call(entries[2], key)).code === 'answer',
    'the key is free again or answered',
  );
  assert.equal(countRuns(key), 1);
});

test('[at-most-once] the service cut the connection: unknown, never run again', async () => {
  const key = createKey();
  deployment.booking.setFaults({dropAfterRun: 1});
  const first = await call(entries[0], key);
  assert.equal(first.execution, 'unknown', first.code);
  const second = await call(entries[1], key);
  assert.equal(second.code, 'outcome_unknown');
  assert.equal(countRuns(key), 1);
});
