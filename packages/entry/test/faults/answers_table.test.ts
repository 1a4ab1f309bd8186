import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import type {EngineFaults} from '@anvilrudder/stand-ins';
import {generate, type ReceivedAnswer} from '../support/test_caller.js';
import {
  startTestDeployment,
  type TestDeployment,
} from '../support/test_deployment.js';

interface AnswerCase {
  readonly fault: string;
  readonly faults: Partial<EngineFaults>;
  /** Indices of the engines that have the fault. */
  readonly engineIndices: readonly number[];
  readonly code: string;
  readonly execution?: string;
}

const NO_FAULT: EngineFaults = {
  cutAfterTokens: null,
  cutCount: null,
  duplicateTokens: false,
  skipToken: null,
  tokenDelayMs: null,
  failRate: 0,
  isHung: false,
  refuse: 0,
};

const CASES: readonly AnswerCase[] = [
  {fault: 'no fault', faults: {}, engineIndices: [0, 1], code: 'ok'},
  {
    fault: 'every token sent twice',
    faults: {duplicateTokens: true},
    engineIndices: [0, 1],
    code: 'ok',
  },
  {
    fault: 'a stream cut before its first token, once',
    faults: {cutAfterTokens: 0, cutCount: 1},
    engineIndices: [0, 1],
    code: 'ok',
  },
  {
    fault: 'a stream cut in the middle, once',
    faults: {cutAfterTokens: 4, cutCount: 1},
    engineIndices: [0, 1],
    code: 'ok',
  },
  {
    fault: 'streams cut in the middle at one engine',
    faults: {cutAfterTokens: 4},
    engineIndices: [0],
    code: 'ok',
  },
  {
    fault: 'a token left out at one engine',
    faults: {skipToken: 3},
    engineIndices: [0],
    code: 'ok',
  },
  {
    fault: 'a token left out at every engine',
    faults: {skipToken: 3},
    engineIndices: [0, 1],
    code: 'stream_broken',
    execution: 'unknown',
  },
  {
    fault: 'streams cut after the first token at every engine',
    faults: {cutAfterTokens: 1},
    engineIndices: [0, 1],
    code: 'stream_broken',
    execution: 'unknown',
  },
  {
    fault: 'requests refused by every engine',
    faults: {refuse: 1000},
    engineIndices: [0, 1],
    code: 'backend_refused',
    execution: 'notRun',
  },
  {
    fault: 'requests refused by one engine',
    faults: {refuse: 1000},
    engineIndices: [1],
    code: 'ok',
  },
];

let deployment: TestDeployment;

before(async () => {
  deployment = await startTestDeployment();
});

after(async () => {
  await deployment.stop();
});

function generateMany(count: number): Promise<readonly ReceivedAnswer[]> {
  const [entry] = deployment.entries;
  return Promise.all(
    Array.from({length: count}, (_, index) =>
      generate(entry.callerAddress, {prompt: `prompt ${index}`}),
    ),
  );
}

for (const testCase of CASES) {
  test(`[answers] ${testCase.fault}: ${testCase.code}`, async () => {
    for (const engine of deployment.engines) engine.setFaults(NO_FAULT);
    for (const index of testCase.engineIndices) {
      deployment.engines[index].setFaults({...NO_FAULT, ...testCase.faults});
    }
    const answers = await generateMany(4);
    for (const answer of answers) {
      assert.equal(answer.code, testCase.code);
      assert.equal(answer.isComplete, testCase.code === 'ok');
      assert.equal(answer.execution, testCase.execution);
      if (testCase.code !== 'ok') assert.ok((answer.retryAfterMs ?? 0) > 0);
    }
  });
}

test('[answers] tokens of concurrent streams with different speeds are not mixed up', async () => {
  for (const engine of deployment.engines) engine.setFaults(NO_FAULT);
  deployment.engines[0].setFaults({tokenDelayMs: 3});
  deployment.engines[1].setFaults({tokenDelayMs: 1, duplicateTokens: true});
  const answers = await generateMany(12);
  assert.ok(answers.every(answer => answer.isComplete));
  const distinctTokens = new Set(answers.flatMap(answer => answer.tokens));
  assert.equal(distinctTokens.size, 12 * 8);
});

test('[not-run] no engine executed a request that is reported as notRun', async () => {
  for (const engine of deployment.engines) {
    engine.setFaults({...NO_FAULT, refuse: 1000});
  }
  const countExecutions = (): number =>
    deployment.engines.reduce(
      (sum, engine) => sum + Object.keys(engine.counters().executions).length,
      0,
    );
  const executionsBefore = countExecutions();
  const [answer] = await generateMany(1);
  assert.equal(answer.execution, 'notRun');
  assert.equal(countExecutions(), executionsBefore);
});

test('[answers] a request to a hung engine ends at its deadline with an unknown execution', async () => {
  for (const engine of deployment.engines) {
    engine.setFaults({...NO_FAULT, isHung: true});
  }
  const answer = await generate(deployment.entries[0].callerAddress, {
    deadlineMs: 150,
  });
  assert.equal(answer.code, 'deadline_exceeded');
  assert.equal(answer.execution, 'unknown');
});
