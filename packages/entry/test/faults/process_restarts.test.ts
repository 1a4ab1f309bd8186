import assert from 'node:assert/strict';
import {test} from 'node:test';
import {applyRules, connectOperator} from '../support/operator.js';
import {
  readReadiness,
  startProcessDeployment,
  waitForReady,
  type ProcessDeployment,
} from '../support/process_deployment.js';
import {generate} from '../support/test_caller.js';
import {TEST_RULES, waitUntil} from '../support/test_deployment.js';

const ALL_V2 = TEST_RULES.replace('share=0%', 'share=100%');
const V2_WITHDRAWN = `${ALL_V2}withdraw model=quick version=v2 # test: bad\n`;

const CASES = [
  {
    fault: 'the store down',
    injectFault: (deployment: ProcessDeployment) =>
      deployment.objects.setFaults({isDown: true}),
    clearFault: (deployment: ProcessDeployment) =>
      deployment.objects.setFaults({isDown: false}),
    isServedDuring: false,
  },
  {
    fault: 'the store slow',
    injectFault: (deployment: ProcessDeployment) =>
      deployment.objects.setFaults({delayMs: 200}),
    clearFault: (deployment: ProcessDeployment) =>
      deployment.objects.setFaults({delayMs: 0}),
    isServedDuring: true,
  },
] as const;

for (const {fault, injectFault, clearFault, isServedDuring} of CASES) {
  test(`[rules] all entries killed and restarted with ${fault}: none serves an older revision`, async () => {
    const deployment = await startProcessDeployment({rules: ALL_V2});
    try {
      const outcome = await applyRules(deployment.entries[0].peerAddress, {
        content: V2_WITHDRAWN,
        baseRevision: 1,
      });
      assert.equal(outcome.state, 'accepted', outcome.reason);
      await Promise.all(deployment.entries.map(entry => entry.kill()));
      injectFault(deployment);
      const restarted = await Promise.all(
        deployment.entries.map(deployment.restartEntry),
      );
      const answersDuringFault = await Promise.all(
        restarted.map(({callerAddress}) => generate(callerAddress)),
      );
      for (const answer of answersDuringFault) {
        if (answer.isComplete) assert.equal(answer.version, 'quick@v1');
        else assert.equal(answer.execution, 'notRun', answer.code);
      }
      if (!isServedDuring) {
        assert.deepEqual(
          [...new Set(answersDuringFault.map(({code}) => code))],
          ['not_ready'],
        );
      }
      clearFault(deployment);
      for (const {callerAddress} of restarted) {
        await waitForReady(callerAddress, 2);
        const answer = await generate(callerAddress);
        assert.equal(answer.version, 'quick@v1', answer.code);
      }
      assert.equal(deployment.countExecutions('quick@v2'), 0);
    } finally {
      await deployment.stop();
    }
  });
}

test('[rules] all entries killed and restarted with stale reads from the store: none serves an older revision', async () => {
  const deployment = await startProcessDeployment({rules: ALL_V2});
  try {
    deployment.objects.setFaults({staleReads: true});
    const outcome = await applyRules(deployment.entries[0].peerAddress, {
      content: V2_WITHDRAWN,
      baseRevision: 1,
    });
    assert.equal(outcome.state, 'accepted', outcome.reason);
    await Promise.all(deployment.entries.map(entry => entry.kill()));
    const restarted = await Promise.all(
      deployment.entries.map(deployment.restartEntry),
    );
    for (const {callerAddress} of restarted) {
      const ready = await readReadiness(callerAddress);
      const answer = await generate(callerAddress);
      if (ready?.httpStatus === 200) assert.equal(ready.revision, 2);
      if (answer.isComplete) assert.equal(answer.version, 'quick@v1');
    }
    deployment.objects.setFaults({staleReads: false});
    for (const {callerAddress} of restarted) {
      await waitForReady(callerAddress, 2);
      const answer = await generate(callerAddress);
      assert.equal(answer.version, 'quick@v1', answer.code);
    }
    assert.equal(deployment.countExecutions('quick@v2'), 0);
  } finally {
    await deployment.stop();
  }
});

test('[rules] hosts that replace all old ones at new addresses serve nothing until the operator confirms that the old ones have stopped', async () => {
  const deployment = await startProcessDeployment({rules: ALL_V2});
  try {
    const {entries} = deployment;
    const lostHosts = entries.map(({host}) => host);
    await waitUntil(async () => {
      const status = await connectOperator(entries[0].peerAddress).getStatus(
        {},
      );
      return (
        status.members.length === entries.length &&
        status.pendingChangeId === ''
      );
    }, 'every entry is a member');
    await Promise.all(entries.map(entry => entry.kill()));
    const replacements = await Promise.all(
      lostHosts.map((host, index) =>
        deployment.startEntry(`new-${host}`, index),
      ),
    );
    for (const {callerAddress} of replacements) {
      const answer = await generate(callerAddress);
      assert.equal(answer.code, 'not_ready');
      assert.equal(answer.execution, 'notRun');
    }
    const outcome = await applyRules(replacements[0].peerAddress, {
      content: V2_WITHDRAWN,
      baseRevision: 1,
      withoutHosts: lostHosts,
    });
    assert.equal(outcome.state, 'accepted', outcome.reason);
    for (const {callerAddress} of replacements) {
      await waitForReady(callerAddress, 2);
      const answer = await generate(callerAddress);
      assert.equal(answer.version, 'quick@v1', answer.code);
    }
  } finally {
    await deployment.stop();
  }
});
