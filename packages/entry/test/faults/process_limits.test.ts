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

// agency-b may use only quick@v1, although the cascade of its kind would
// continue with deep@v1 and quick@v2 has the same quality.
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
const WORKER_COUNT = 6;
const ANSWER_COUNT = 60;
const FORBIDDEN_VERSIONS = ['quick@v2', 'deep@v1'];

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

const CASES = [
  {fault: 'no fault', faults: {}},
  {fault: 'a server that refuses requests', faults: {refuse: 20}},
  {
    fault: 'a server that cuts off streams',
    faults: {cutAfterTokens: 2, cutCount: 20},
  },
  {fault: 'a server that fails half of its requests', faults: {failRate: 0.5}},
] as const;

for (const {fault, faults} of CASES) {
  for (const kind of ['chat', 'brief']) {
    test(`[allowed] ${kind} requests of a restricted organisation reach only its one allowed version: ${fault}`, async () => {
      const {entries, engines} = deployment;
      engines[0].setFaults(faults);
      const input: GenerateInput = {organisation: 'agency-b', kind};
      const receivedAnswers: ReceivedAnswer[] = [];
      const load = LoadGenerator.start(WORKER_COUNT, async worker => {
        const answer = await generate(
          entries[worker % entries.length].callerAddress,
          input,
        );
        receivedAnswers.push(answer);
        return answer;
      });
      await waitUntil(
        () => receivedAnswers.length >= ANSWER_COUNT,
        'the load is done',
      );
      const {answers} = await load.stop();
      engines[0].setFaults({
        refuse: 0,
        cutAfterTokens: null,
        cutCount: null,
        failRate: 0,
      });
      for (const version of FORBIDDEN_VERSIONS) {
        assert.equal(deployment.countExecutions(version), 0, version);
      }
      const complete = answers.filter(answer => answer.isComplete);
      assert.ok(complete.length > 0);
      for (const {version} of complete) assert.equal(version, 'quick@v1');
      assertNotRunIsCorrect(answers);
    });
  }
}

/** Checks that the engines executed no request that was reported as notRun. */
function assertNotRunIsCorrect(answers: readonly ReceivedAnswer[]): void {
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

test('[allowed] a request for a version that the rules do not allow is refused and not run', async () => {
  for (const {callerAddress} of deployment.entries) {
    for (const forbidden of FORBIDDEN_VERSIONS) {
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
  for (const version of FORBIDDEN_VERSIONS) {
    assert.equal(deployment.countExecutions(version), 0, version);
  }
});

test('[not-run] an entry killed and servers that refuse or fail: requests reported as notRun did not run', async () => {
  const {entries, engines} = deployment;
  // Checks that the cascade continues with deep@v1 where the rules allow it.
  await generate(entries[0].callerAddress, {kind: 'brief'});
  assert.ok(deployment.countExecutions('deep@v1') > 0);
  for (const engine of engines) engine.setFaults({failRate: 0.2, refuse: 40});
  const receivedAnswers: ReceivedAnswer[] = [];
  const load = LoadGenerator.start(WORKER_COUNT, async worker => {
    const answer = await generate(
      entries[worker % entries.length].callerAddress,
    );
    receivedAnswers.push(answer);
    return answer;
  });
  await waitUntil(
    () => receivedAnswers.length >= ANSWER_COUNT,
    'the load runs',
  );
  await entries[0].kill();
  const target = receivedAnswers.length + ANSWER_COUNT;
  await waitUntil(() => receivedAnswers.length >= target, 'the load continues');
  const {answers, lostCount} = await load.stop();
  assert.ok(lostCount > 0);
  assertNotRunIsCorrect(answers);
});
