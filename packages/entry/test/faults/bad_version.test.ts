import assert from 'node:assert/strict';
import {test} from 'node:test';
import {startRatingStandIn} from '@anvilrudder/stand-ins';
import {generate, type ReceivedAnswer} from '../support/test_caller.js';
import {
  TEST_RULES,
  startTestDeployment,
  waitUntil,
  type TestDeployment,
} from '../support/test_deployment.js';

const BAD_VERSION = {model: 'quick', version: 'v2'};
const BATCH_SIZE = 30;
const MAX_BATCHES = 400;

function countBadExecutions(deployment: TestDeployment): number {
  return deployment.engines.reduce(
    (sum, engine) =>
      sum + (engine.counters().executionsByVersion['quick@v2'] ?? 0),
    0,
  );
}

function isStoppedEverywhere(deployment: TestDeployment): boolean {
  return deployment.entries.every(entry =>
    entry.context.decisions.rollouts.isStopped(BAD_VERSION),
  );
}

async function sendBatch(
  deployment: TestDeployment,
): Promise<readonly ReceivedAnswer[]> {
  return Promise.all(
    Array.from({length: BATCH_SIZE}, (_, index) => {
      const entry = deployment.entries[index % deployment.entries.length];
      return generate(entry.callerAddress, {maxTokens: 2});
    }),
  );
}

test('[withdrawn] a version with bad ratings is stopped at every entry and an operator can allow it again', async () => {
  const ratings = await startRatingStandIn({
    ratePerS: 1000,
    quality: {'quick@v1': 0.9, 'quick@v2': 0.1},
  });
  const deployment = await startTestDeployment({
    entryCount: 2,
    rules: TEST_RULES.replace('share=0%', 'share=50%'),
    settings: settings => ({
      ...settings,
      platform: {
        ...settings.platform,
        ratingsUrl: `http://${ratings.address}`,
        ratingsPerS: 1000,
      },
    }),
  });
  try {
    let session: string | undefined;
    for (let batch = 0; batch < MAX_BATCHES; batch += 1) {
      const answers = await sendBatch(deployment);
      session ??= answers.find(({version}) => version === 'quick@v2')?.session;
      if (isStoppedEverywhere(deployment)) break;
    }
    await waitUntil(
      () => isStoppedEverywhere(deployment),
      'v2 is stopped at every entry',
    );
    const executionsAtStop = countBadExecutions(deployment);
    const answers = await sendBatch(deployment);
    assert.ok(answers.every(answer => answer.isComplete));
    assert.equal(countBadExecutions(deployment), executionsAtStop);

    assert.ok(session !== undefined, 'no session was started on v2');
    const [entry] = deployment.entries;
    const pinned = await generate(entry.callerAddress, {session});
    assert.equal(pinned.code, 'version_withdrawn');
    assert.equal(pinned.execution, 'notRun');

    await waitUntil(async () => {
      const records = await entry.context.audit.list({action: 'version.stop'});
      return records.length > 0;
    }, 'the stop is in the audit trail');

    const restarted = await deployment.startEntry('entry-9');
    assert.ok(restarted.context.decisions.rollouts.isStopped(BAD_VERSION));
    await restarted.stop();

    entry.context.decisions.rollouts.recordOperatorRuling(
      BAD_VERSION,
      'allowed',
      'mina',
      'test',
    );
    await waitUntil(
      () =>
        deployment.entries.every(
          each => !each.context.decisions.rollouts.isStopped(BAD_VERSION),
        ),
      'every entry allows v2 after the ruling of the operator',
    );
  } finally {
    await deployment.stop();
    await ratings.stop();
  }
});
