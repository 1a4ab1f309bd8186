import assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import {test} from 'node:test';
import type {EngineStandInOptions} from '@anvilrudder/stand-ins';
import {LoadGenerator} from '../support/load_generator.js';
import {
  applyRules,
  connectOperator,
  submitUntilDecided,
} from '../support/operator.js';
import {
  startProcessDeployment,
  waitForReady,
  type ProcessDeployment,
} from '../support/process_deployment.js';
import {generate} from '../support/test_caller.js';
import {TEST_RULES, waitUntil} from '../support/test_deployment.js';

const ALL_V2 = TEST_RULES.replace('share=0%', 'share=100%');
const V2_WITHDRAWN = `${ALL_V2}withdraw model=quick version=v2 # test: bad\n`;
const WORKERS_PER_ENTRY = 3;
const ANSWERS_BEFORE_CHANGE = 20;
const ANSWERS_AFTER_CHANGE = 30;

function startLoad(deployment: ProcessDeployment): LoadGenerator {
  const {entries} = deployment;
  return LoadGenerator.start(entries.length * WORKERS_PER_ENTRY, worker =>
    generate(entries[worker % entries.length].callerAddress, {
      prompt: `load of ${worker}`,
    }),
  );
}

const SMALL_ENGINE: EngineStandInOptions = {
  loaded: [
    {model: 'quick', version: 'v1'},
    {model: 'quick', version: 'v2'},
  ],
  slots: 2,
  queueLimit: 0,
  tokenDelayMs: 20,
};

const CASES = [
  {fault: 'no fault', pausedEntries: [], engines: undefined},
  {
    fault: 'requests that wait in the entries for an engine slot',
    pausedEntries: [],
    engines: [SMALL_ENGINE],
  },
  {
    fault: 'an entry frozen from before the change until after its acceptance',
    pausedEntries: [2],
    engines: undefined,
  },
] as const;

for (const {fault, pausedEntries, engines} of CASES) {
  test(`[withdrawn] no new request after acceptance: ${fault}`, async () => {
    const deployment = await startProcessDeployment({
      rules: ALL_V2,
      engines,
    });
    try {
      const {entries} = deployment;
      const load = startLoad(deployment);
      await waitUntil(
        () => load.completeCount >= ANSWERS_BEFORE_CHANGE,
        'the load runs at every entry',
      );
      assert.ok(deployment.countExecutions('quick@v2') > 0);
      for (const index of pausedEntries) entries[index].pause();
      const outcome = await applyRules(entries[0].peerAddress, {
        content: V2_WITHDRAWN,
        baseRevision: 1,
      });
      const executionsAtAcceptance = deployment.countExecutions('quick@v2');
      assert.equal(outcome.state, 'accepted', outcome.reason);
      for (const index of pausedEntries) entries[index].resume();
      await Promise.all(
        entries.map(({callerAddress}) => waitForReady(callerAddress, 2)),
      );
      const target = load.completeCount + ANSWERS_AFTER_CHANGE;
      await waitUntil(() => load.completeCount >= target, 'the load continues');
      const {answers} = await load.stop();
      assert.equal(
        deployment.countExecutions('quick@v2'),
        executionsAtAcceptance,
      );
      assert.deepEqual(
        answers.filter(answer => answer.code === 'cut'),
        [],
      );
      const lastAnswer = await generate(entries[2].callerAddress);
      assert.equal(lastAnswer.version, 'quick@v1');
    } finally {
      await deployment.stop();
    }
  });
}

test('[rules] a change whose coordinator is killed is decided at another entry', async () => {
  const deployment = await startProcessDeployment({rules: ALL_V2});
  try {
    const [coordinator, other, pausedEntry] = deployment.entries;
    const change = {
      changeId: randomUUID(),
      content: V2_WITHDRAWN,
      baseRevision: 1,
    };
    // The paused entry keeps the change pending until the coordinator is killed.
    pausedEntry.pause();
    const reply = applyRules(coordinator.peerAddress, change).then(
      () => 'answered',
      () => 'lost',
    );
    await waitUntil(async () => {
      const {objects} = await deployment.store.list('rules/');
      return objects.some(({value}) => value.includes(change.changeId));
    }, 'the change is proposed');
    await coordinator.kill();
    assert.equal(await reply, 'lost');
    pausedEntry.resume();
    const outcome = await submitUntilDecided(other.peerAddress, change);
    const repeatedOutcome = await submitUntilDecided(
      pausedEntry.peerAddress,
      change,
    );
    assert.equal(repeatedOutcome.state, outcome.state);
    const answer = await generate(other.callerAddress);
    assert.equal(
      answer.version,
      outcome.state === 'accepted' ? 'quick@v1' : 'quick@v2',
      JSON.stringify(answer),
    );
  } finally {
    await deployment.stop();
  }
});

test('[rules] of two concurrent changes at two entries one is refused and its reason names the other', async () => {
  const deployment = await startProcessDeployment();
  try {
    const [first, second] = deployment.entries;
    const changes = [
      {entry: first, content: TEST_RULES.replace('share=0%', 'share=10%')},
      {entry: second, content: TEST_RULES.replace('share=0%', 'share=20%')},
    ];
    const outcomes = await Promise.all(
      changes.map(({entry, content}) =>
        applyRules(entry.peerAddress, {content, baseRevision: 1}),
      ),
    );
    const states = outcomes.map(({state}) => state).sort();
    assert.deepEqual(states, ['accepted', 'refused']);
    const accepted = outcomes.findIndex(({state}) => state === 'accepted');
    assert.match(outcomes[1 - accepted].reason, /revision 2 by mina: test/);
    const {content} = await connectOperator(first.peerAddress).getRules({});
    assert.equal(content, changes[accepted].content);
  } finally {
    await deployment.stop();
  }
});
