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
  /** Engines that have the fault. */
  readonly engines: readonly number[];
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
  {fault: 'no fault', faults: {}, engines: [0, 1], code: 'ok'},
  {
    fault: 'every token sent twice',
    faults: {duplicateTokens: true},
    engines: [0, 1],
    code: 'ok',
  },
  {
    fault: 'a stream cut before its first token, once',
    faults: {cutAfterTokens: 0, cutCount: 1},
    engines: [0, 1],
    code: 'ok',
  },
  {
    fault: 'a stream cut in the middle, once',
    faults: {cutAfterTokens: 4, cutCount: 1},
    engines: [0, 1],
    code: 'ok',
  },
  {
    fault: 'streams cut in the middle at one engine',
    faults: {cutAfterTokens: 4},
    engines: [0],
    code: 'ok',
  },
  {
    fault: 'a token left out at one engine',
    faults: {skipToken: 3},
    engines: [0],
    code: 'ok',
  },
  {
    fault: 'a token left out at every engine',
    faults: {skipToken: 3},
    engines: [0, 1],
    code: 'stream_broken',
    execution: 'unknown',
  },
  {
    fault: 'streams cut after the first token at every engine',
    faults: {cutAfterTokens: 1},
    engines: [0, 1],
    code: 'stream_broken',
    execution: 'unknown',
  },
  {
    fault: 'refusals at every engine',
    faults: {refuse: 1000},
    engines: [0, 1],
    code: 'backend_refused',
    execution: 'notRun',
  },
  {
    fault: 'refusals at one engine',
    faults: {refuse: 1000},
    engines: [1],
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

function askMany(count: number): Promise<readonly ReceivedAnswer[]> {
  const [entry] = deployment.entries;
  return Promise.all(
    Array.from({length: count}, (_, index) =>
      generate(entry.callerAddress, {prompt: `prompt ${index}`}),
    ),
  );
}

for (const each of CASES) {
  test(`[answers] ${each.fault}: ${each.code}`, async () => {
    for (const engine of deployment.engines) engine.setFaults(NO_FAULT);
    for (const index of each.engines) {
      deployment.engines[index].setFaults({...NO_FAULT, ...each.faults});
    }
    const answers = await askMany(4);
    for (const answer of answers) {
      assert.equal(answer.code, each.code);
      assert.equal(answer.isComplete, each.code === 'ok');
      assert.equal(answer.execution, each.execution);
      if (each.code !== 'ok') assert.ok((answer.retryAfterMs ?? 0) > 0);
    }
  });
}

test('[answers] interleaved streams of unlike speed never cross', async () => {
  for (const engine of deployment.engines) engine.setFaults(NO_FAULT);
  deployment.engines[0].setFaults({tokenDelayMs: 3});
  deployment.engines[1].setFaults({tokenDelayMs: 1, duplicateTokens: true});
  const answers = await askMany(12);
  assert.ok(answers.every(answer => answer.isComplete));
  const texts = new Set(answers.flatMap(answer => answer.tokens));
  assert.equal(texts.size, 12 * 8);
});

test('[not-run] an answer that says not run left no trace at the engines', async () => {
  for (const engine of deployment.engines) {
    engine.setFaults({...NO_FAULT, refuse: 1000});
  }
  const countRuns = (): number =>
    deployment.engines.reduce(
      (sum, engine) => sum + Object.keys(engine.counters().executions).length,
      0,
    );
  const before = countRuns();
  const [answer] = await askMany(1);
  assert.equal(answer.execution, 'notRun');
  assert.equal(countRuns(), before);
});

test('[answers] a deadline ends a hung request at once, as not known to have run', async () => {
  for (const engine of deployment.engines) {
    engine.setFaults({...NO_FAULT, isHung: true});
  }
  const answer = await generate(deployment.entries[0].callerAddress, {
    deadlineMs: 150,
  });
  assert.equal(answer.code, 'deadline_exceeded');
  assert.equal(answer.execution, 'unknown');
});
