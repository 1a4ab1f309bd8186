import assert from 'node:assert/strict';
import {test} from 'node:test';
import {generate} from '../support/test_caller.js';
import {startTestDeployment} from '../support/test_deployment.js';

const ENGINES = [
  {loaded: [{model: 'quick', version: 'v1'}]},
  {loaded: [{model: 'deep', version: 'v1'}]},
];

test('[answers] a new request goes to another model when every server of the first one refuses', async () => {
  const deployment = await startTestDeployment({engines: ENGINES});
  try {
    deployment.engines[0].setFaults({refuse: 1000});
    const [entry] = deployment.entries;
    const answers = await Promise.all(
      Array.from({length: 4}, () => generate(entry.callerAddress)),
    );
    for (const answer of answers) {
      assert.equal(answer.version, 'deep@v1');
      assert.equal(answer.isComplete, true);
    }
  } finally {
    await deployment.stop();
  }
});

test('[session] a session does not move to another model when every server of its model refuses', async () => {
  const deployment = await startTestDeployment({engines: ENGINES});
  try {
    const [entry] = deployment.entries;
    const first = await generate(entry.callerAddress);
    assert.equal(first.version, 'quick@v1');
    deployment.engines[0].setFaults({refuse: 1000});
    const answer = await generate(entry.callerAddress, {
      session: first.session,
    });
    assert.equal(answer.code, 'backend_refused');
    assert.equal(answer.execution, 'notRun');
  } finally {
    await deployment.stop();
  }
});
