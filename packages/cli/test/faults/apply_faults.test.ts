import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {createEntryClients} from '../../src/entry_client.js';
import {isCliError} from '../../src/cli_error.js';
import {runRulesApply} from '../../src/commands/rules_apply.js';
import {SILENT_PROGRESS} from '../../src/progress.js';
import {
  DEFAULT_SUBMIT_OPTIONS,
  type SubmitOptions,
} from '../../src/submit_change.js';
import {FakeDeployment, TOKEN, type ApplyFault} from '../fake_deployment.js';
import {createFakeIo} from '../fake_io.js';
import {CHANGED_CONTENT, CONTENT} from '../sample_content.js';

const UNREACHABLE_URL = 'http://127.0.0.1:1';

const DEFAULT_CALL_TIMEOUT_MS = 10_000;

/** Retries until the outcome is known. */
const RETRY_UNTIL_DECIDED: SubmitOptions = {
  ...DEFAULT_SUBMIT_OPTIONS,
  timeoutMs: 30_000,
  minRetryDelayMs: 5,
  maxRetryDelayMs: 20,
  random: () => 0,
};

/** Stops after one round, since the retry delay exceeds the timeout. */
const ONE_ROUND: SubmitOptions = {
  ...RETRY_UNTIL_DECIDED,
  minRetryDelayMs: 120_000,
  maxRetryDelayMs: 120_000,
};

/** Calls the next entry if one does not answer within 200 ms. */
const SHORT_CALL_TIMEOUT: SubmitOptions = {
  ...RETRY_UNTIL_DECIDED,
  callTimeoutMs: 200,
};

interface Attempt {
  readonly exitCode: number;
  readonly output: string;
  readonly errors: string;
}

async function applyAt(
  urls: readonly string[],
  submit = RETRY_UNTIL_DECIDED,
  changeId = 'c-1',
): Promise<Attempt> {
  const io = createFakeIo({f: CHANGED_CONTENT});
  const settings = {entryUrls: urls, token: TOKEN};
  const entries = createEntryClients(
    settings,
    DEFAULT_CALL_TIMEOUT_MS,
    SILENT_PROGRESS,
  );
  const options = {
    file: 'f',
    why: 'fair',
    who: '',
    withoutHosts: [],
    base: '1',
    changeId,
    isProgressForced: false,
    isJson: false,
    submit,
  };
  const exitCode = await runRulesApply(options, entries, io).catch(
    (error: unknown) => {
      assert.ok(isCliError(error), String(error));
      return error.exitCode;
    },
  );
  return {exitCode, output: io.output, errors: io.errors};
}

function createDeployment(t: TestContext): FakeDeployment {
  const deployment = FakeDeployment.create(CONTENT);
  t.after(() => deployment.stop());
  return deployment;
}

interface FaultCase {
  readonly name: string;
  readonly faults: readonly ApplyFault[];
  /** Default: {@link RETRY_UNTIL_DECIDED}. */
  readonly submit?: SubmitOptions;
  readonly exitCode: number;
  readonly acceptedCount: number;
}

const FAULT_CASES: readonly FaultCase[] = [
  {name: 'no fault', faults: ['none'], exitCode: 0, acceptedCount: 1},
  {
    name: 'an answer is lost after the change took effect',
    faults: ['lose_answer', 'none'],
    exitCode: 0,
    acceptedCount: 1,
  },
  {
    name: 'a connection closes before the change took effect',
    faults: ['cut', 'none'],
    exitCode: 0,
    acceptedCount: 1,
  },
  {
    name: 'an entry never answers',
    faults: ['hang', 'none'],
    submit: SHORT_CALL_TIMEOUT,
    exitCode: 0,
    acceptedCount: 1,
  },
  {
    name: 'an entry answers before the outcome is decided',
    faults: ['undecided'],
    exitCode: 0,
    acceptedCount: 1,
  },
  {
    name: 'every answer is lost after the change took effect',
    faults: ['lose_answer', 'lose_answer'],
    submit: ONE_ROUND,
    exitCode: 4,
    acceptedCount: 1,
  },
  {
    name: 'every connection closes before the change took effect',
    faults: ['cut', 'cut'],
    submit: ONE_ROUND,
    exitCode: 4,
    acceptedCount: 0,
  },
];

for (const {name, faults, submit, ...expected} of FAULT_CASES) {
  test(`[rules] applies a change at most once: ${name}`, async t => {
    const deployment = createDeployment(t);
    const urls: string[] = [];
    for (const fault of faults) urls.push(await deployment.startEntry(fault));
    const attempt = await applyAt(urls, submit);
    assert.equal(attempt.exitCode, expected.exitCode, attempt.errors);
    assert.equal(deployment.accepted.length, expected.acceptedCount);
  });
}

test('[rules] repeating the id of an undecided change returns its outcome', async t => {
  const deployment = createDeployment(t);
  const faultyUrl = await deployment.startEntry('lose_answer');
  const first = await applyAt([faultyUrl], ONE_ROUND);
  assert.equal(first.exitCode, 4);
  assert.match(first.errors, /anvilrudder rules change c-1/);
  const second = await applyAt([await deployment.startEntry()]);
  assert.equal(second.exitCode, 0);
  assert.equal(second.output, 'accepted as revision 2\n');
  assert.equal(deployment.accepted.length, 1);
});

test('[rules] a change is not undecided if no entry was reachable', async () => {
  const attempt = await applyAt([UNREACHABLE_URL, UNREACHABLE_URL]);
  assert.equal(attempt.exitCode, 3);
});

test('[rules] an entry that refuses connections is skipped', async t => {
  const deployment = createDeployment(t);
  const url = await deployment.startEntry();
  const attempt = await applyAt([UNREACHABLE_URL, url]);
  assert.equal(attempt.exitCode, 0);
});

test('[rules] a change stays undecided if a call is rejected after a lost answer', async t => {
  const deployment = createDeployment(t);
  const urls = [
    await deployment.startEntry('lose_answer'),
    await deployment.startEntry('none', 'another-token'),
  ];
  const attempt = await applyAt(urls, ONE_ROUND);
  assert.equal(attempt.exitCode, 4);
  assert.equal(deployment.accepted.length, 1);
});

test('[rules] one of two concurrent changes with the same base is refused', async t => {
  const deployment = createDeployment(t);
  const url = await deployment.startEntry();
  const attempts = await Promise.all([
    applyAt([url], RETRY_UNTIL_DECIDED, 'c-1'),
    applyAt([url], RETRY_UNTIL_DECIDED, 'c-2'),
  ]);
  const exitCodes = attempts.map(attempt => attempt.exitCode).sort();
  assert.deepEqual(exitCodes, [0, 1]);
  const refused = attempts.find(attempt => attempt.exitCode === 1);
  assert.equal(refused?.output, 'refused: the revision in force is 2\n');
  assert.equal(deployment.accepted.length, 1);
});
