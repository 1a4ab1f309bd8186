import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {LoadGenerator} from '../support/load_generator.js';
import {
  startProcessDeployment,
  type ProcessDeployment,
} from '../support/process_deployment.js';
import {
  generate,
  type GenerateInput,
  type ReceivedAnswer,
} from '../support/test_caller.js';
import {waitUntil} from '../support/test_deployment.js';

// agency-b may use quick@v1 alone, although the cascade of its kind would go
// on to deep@v1 and quick@v2 has the same quality.
const RULES = `
model name=quick version=v1 cost-per-mtok=1 quality=0.8 # test: base
model name=quick version=v2 cost-per-mtok=1 quality=0.8 # test: next
model name=deep version=v1 cost-per-mtok=9 quality=0.95 # test: base
kind name=chat quality=0.6 deadline-ms=5000 # test: base
kind name=brief quality=0.9 deadline-ms=5000 # test: base
allow organisation=school-a model=* version=* kind=* # test: everything
allow organisation=agency-b model=quick version=v1 kind=chat # test: little
allow organisation=agency-b model=quick version=v1 kind=brief # test: little
rollout model=quick version=v2 share=50% # test: half
`;
const LOADED = [
  {model: 'quick', version: 'v1'},
  {model: 'quick', version: 'v2'},
  {model: 'deep', version: 'v1'},
];
const WORKERS = 6;
const ANSWERS = 60;
const FORBIDDEN = ['quick@v2', 'deep@v1'];

let deployment: ProcessDeployment;

before(async () => {
  deployment = await startProcessDeployment({
    rules: RULES,
    engines: [
      {loaded: LOADED, confidence: {'quick@v1': 0.1}},
      {loaded: LOADED, confidence: {'quick@v1': 0.1}},
    ],
  });
});

after(() => deployment.stop());

const FAULTS = [
  {fault: 'no fault', faults: {}},
  {fault: 'servers that refuse', faults: {refuse: 20}},
  {fault: 'streams that are cut', faults: {cutAfterTokens: 2, cutCount: 20}},
  {fault: 'servers that fail', faults: {failRate: 0.5}},
] as const;

for (const {fault, faults} of FAULTS) {
  for (const kind of ['chat', 'brief']) {
    test(`[allowed] ${kind} of a limited organisation reaches its one version alone: ${fault}`, async () => {
      const {entries, engines} = deployment;
      engines[0].setFaults(faults);
      const input: GenerateInput = {organisation: 'agency-b', kind};
      const ended: ReceivedAnswer[] = [];
      const load = LoadGenerator.start(WORKERS, async worker => {
        const answer = await generate(
          entries[worker % entries.length].callerAddress,
          input,
        );
        ended.push(answer);
        return answer;
      });
      await waitUntil(() => ended.length >= ANSWERS, 'the load is done');
      const {answers} = await load.stop();
      engines[0].setFaults({
        refuse: 0,
        cutAfterTokens: null,
        cutCount: null,
        failRate: 0,
      });
      for (const version of FORBIDDEN) {
        assert.equal(deployment.countExecutions(version), 0, version);
      }
      const whole = answers.filter(answer => answer.isComplete);
      assert.ok(whole.length > 0);
      for (const {version} of whole) assert.equal(version, 'quick@v1');
      assertNotRun(answers);
    });
  }
}

/** Checks by the engines' count that what was told as not run did not run. */
function assertNotRun(answers: readonly ReceivedAnswer[]): void {
  const executed = new Set(
    deployment.engines.flatMap(engine =>
      Object.keys(engine.counters().executions),
    ),
  );
  const wrong = answers.filter(
    ({execution, requestId}) =>
      execution === 'notRun' && executed.has(requestId),
  );
  assert.deepEqual(wrong, []);
}

test('[allowed] a version asked for by name outside the rules is refused and not run', async () => {
  for (const {callerAddress} of deployment.entries) {
    for (const forbidden of FORBIDDEN) {
      const [model, version] = forbidden.split('@');
      const answer = await generate(callerAddress, {
        organisation: 'agency-b',
        model,
        version,
      });
      assert.equal(answer.execution, 'notRun', answer.code);
      assert.equal(answer.httpStatus, 403, answer.code);
    }
  }
  for (const version of FORBIDDEN) {
    assert.equal(deployment.countExecutions(version), 0, version);
  }
});

test('[not-run] entries killed and servers refusing: what was told as not run did not run', async () => {
  const {entries, engines} = deployment;
  // Shows that the cascade goes on where the rules allow it.
  await generate(entries[0].callerAddress, {kind: 'brief'});
  assert.ok(deployment.countExecutions('deep@v1') > 0);
  for (const engine of engines) engine.setFaults({failRate: 0.2, refuse: 40});
  const ended: ReceivedAnswer[] = [];
  const load = LoadGenerator.start(WORKERS, async worker => {
    const answer = await generate(
      entries[worker % entries.length].callerAddress,
    );
    ended.push(answer);
    return answer;
  });
  await waitUntil(() => ended.length >= ANSWERS, 'the load runs');
  await entries[0].kill();
  const target = ended.length + ANSWERS;
  await waitUntil(() => ended.length >= target, 'the load goes on');
  const {answers, lostCount} = await load.stop();
  assert.ok(lostCount > 0);
  assertNotRun(answers);
});
