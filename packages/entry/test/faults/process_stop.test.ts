import assert from 'node:assert/strict';
import {test} from 'node:test';
import {LoadGenerator} from '../support/load_generator.js';
import {
  readReadiness,
  startProcessDeployment,
} from '../support/process_deployment.js';
import {generate} from '../support/test_caller.js';
import {waitUntil} from '../support/test_deployment.js';

const WORKER_COUNT = 9;
const LONG_REQUEST_TOKENS = 60;
const ENGINE = {
  loaded: [{model: 'quick', version: 'v1'}],
  slots: 32,
  tokenDelayMs: 20,
};

test('[stop] SIGTERM under load: every request completes, /readyz fails first, the exit code is 0', async () => {
  const deployment = await startProcessDeployment({engines: [ENGINE, ENGINE]});
  try {
    const {entries} = deployment;
    const [stoppingEntry] = entries;
    const stoppingHosts = new Set<string>();
    // Like a load balancer, sends no new requests to an entry that is not ready.
    const load = LoadGenerator.start(WORKER_COUNT, worker => {
      const availableEntries = entries.filter(
        ({host}) => !stoppingHosts.has(host),
      );
      return generate(
        availableEntries[worker % availableEntries.length].callerAddress,
      );
    });
    await waitUntil(() => load.completeCount >= WORKER_COUNT, 'the load runs');
    const executionsBefore = deployment.countExecutions('quick@v1');
    const inProgress = Array.from({length: 4}, () =>
      generate(stoppingEntry.callerAddress, {maxTokens: LONG_REQUEST_TOKENS}),
    );
    await waitUntil(
      () => deployment.countExecutions('quick@v1') >= executionsBefore + 4,
      'the long requests run',
    );
    const exitCode = stoppingEntry.stop();
    await waitUntil(
      async () =>
        (await readReadiness(stoppingEntry.callerAddress))?.httpStatus === 503,
      '/readyz fails while the entry still serves requests',
    );
    stoppingHosts.add(stoppingEntry.host);
    for (const answer of await Promise.all(inProgress)) {
      assert.ok(answer.isComplete, answer.code);
    }
    assert.equal(await exitCode, 0);
    assert.equal(await readReadiness(stoppingEntry.callerAddress), undefined);
    const {answers, lostCount} = await load.stop();
    assert.equal(lostCount, 0);
    const incompleteAnswers = answers.filter(answer => !answer.isComplete);
    assert.deepEqual(incompleteAnswers, []);
  } finally {
    await deployment.stop();
  }
});
