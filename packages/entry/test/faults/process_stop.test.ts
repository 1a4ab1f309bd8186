import assert from 'node:assert/strict';
import {test} from 'node:test';
import {LoadGenerator} from '../support/load_generator.js';
import {
  readReadiness,
  startProcessDeployment,
} from '../support/process_deployment.js';
import {generate} from '../support/test_caller.js';
import {waitUntil} from '../support/test_deployment.js';

const WORKERS = 9;
const LONG_TOKENS = 60;
const ENGINE = {
  loaded: [{model: 'quick', version: 'v1'}],
  slots: 32,
  tokenDelayMs: 20,
};

test('[stop] SIGTERM under load: every request is whole, readyz fails first, exit code 0', async () => {
  const deployment = await startProcessDeployment({engines: [ENGINE, ENGINE]});
  try {
    const {entries} = deployment;
    const [leaving] = entries;
    const stopping = new Set<string>();
    // As a balancer does: an entry that is not ready gets nothing new.
    const load = LoadGenerator.start(WORKERS, worker => {
      const open = entries.filter(({host}) => !stopping.has(host));
      return generate(open[worker % open.length].callerAddress);
    });
    await waitUntil(() => load.completeCount >= WORKERS, 'the load runs');
    const startedBefore = deployment.countExecutions('quick@v1');
    const inProgress = Array.from({length: 4}, () =>
      generate(leaving.callerAddress, {maxTokens: LONG_TOKENS}),
    );
    await waitUntil(
      () => deployment.countExecutions('quick@v1') >= startedBefore + 4,
      'the long requests run',
    );
    const exitCode = leaving.stop();
    await waitUntil(
      async () =>
        (await readReadiness(leaving.callerAddress))?.httpStatus === 503,
      'readyz fails while the entry still answers',
    );
    stopping.add(leaving.host);
    for (const answer of await Promise.all(inProgress)) {
      assert.ok(answer.isComplete, answer.code);
    }
    assert.equal(await exitCode, 0);
    assert.equal(await readReadiness(leaving.callerAddress), undefined);
    const {answers, lostCount} = await load.stop();
    assert.equal(lostCount, 0);
    const broken = answers.filter(answer => !answer.isComplete);
    assert.deepEqual(broken, []);
  } finally {
    await deployment.stop();
  }
});
