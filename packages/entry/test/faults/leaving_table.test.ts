import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import {test} from 'node:test';
import {request} from 'undici';
import {generate, callBookingService} from '../support/test_caller.js';
import {startTestDeployment, waitUntil} from '../support/test_deployment.js';

const QUICK = {model: 'quick', version: 'v1'};

async function orderDrain(address: string): Promise<void> {
  await request(`http://${address}/v1/orders`, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify({
      fencing: 1,
      orderId: 'drain',
      wanted: {loaded: [QUICK], isDraining: true},
    }),
  });
}

const WAYS = [
  {
    way: 'the host list says so',
    leave: async (deployment: {
      readonly setHosts: (leaving: readonly number[]) => void;
    }) => deployment.setHosts([0]),
  },
  {
    way: 'the server itself says so',
    leave: async (deployment: {
      readonly engines: ReadonlyArray<{readonly address: string}>;
    }) => orderDrain(deployment.engines[0].address),
  },
] as const;

for (const {way, leave} of WAYS) {
  test(`[leaving] a server gets nothing new once ${way}`, async () => {
    const deployment = await startTestDeployment({
      engines: [{loaded: [QUICK]}, {loaded: [QUICK]}],
    });
    try {
      const [entry] = deployment.entries;
      const [leaving] = deployment.engines;
      await leave(deployment);
      await waitUntil(
        () =>
          entry.context.backends
            .listAll()
            .some(view => view.host.host === 'engine-0' && view.isLeaving),
        'the entry learns that the server leaves',
      );
      const before = Object.keys(leaving.counters().executions).length;
      const answers = await Promise.all(
        Array.from({length: 20}, () => generate(entry.callerAddress)),
      );
      assert.ok(answers.every(answer => answer.isComplete));
      const after = Object.keys(leaving.counters().executions).length;
      assert.equal(after, before);
    } finally {
      await deployment.stop();
    }
  });
}

test('[leaving] a request in progress at a leaving server is finished there', async () => {
  const deployment = await startTestDeployment({
    engines: [{loaded: [QUICK], tokenDelayMs: 20}],
  });
  try {
    const [entry] = deployment.entries;
    const answer = generate(entry.callerAddress, {maxTokens: 20});
    await waitUntil(
      () => Object.keys(deployment.engines[0].counters().executions).length > 0,
      'the request runs',
    );
    deployment.setHosts([0]);
    assert.equal((await answer).isComplete, true);
  } finally {
    await deployment.stop();
  }
});

test('[stop] a planned stop finishes streams and calls, and readyz fails first', async () => {
  const deployment = await startTestDeployment({
    engines: [{loaded: [QUICK], tokenDelayMs: 10}],
    settings: settings => ({
      ...settings,
      stop: {readyGraceMs: 300, stragglerTimeoutMs: 10_000},
    }),
  });
  try {
    const [entry] = deployment.entries;
    const answers = Array.from({length: 6}, (_, index) =>
      generate(entry.callerAddress, {prompt: `p${index}`, maxTokens: 60}),
    );
    await waitUntil(
      () => entry.context.openRequests.count === 6,
      'all requests are open',
    );
    const stopped = entry.stop();
    const ready = await request(`http://${entry.callerAddress}/readyz`);
    assert.equal(ready.statusCode, 503);
    await ready.body.dump();
    const late = await generate(entry.callerAddress, {maxTokens: 2});
    assert.equal(late.isComplete, true);
    assert.equal(
      (await callBookingService(entry.callerAddress, 'late')).httpStatus,
      200,
    );
    assert.ok((await Promise.all(answers)).every(answer => answer.isComplete));
    await stopped;
  } finally {
    await deployment.stop();
  }
});

test('[stop] stragglers beyond the setting are cut and the stop ends', async () => {
  const deployment = await startTestDeployment({
    engines: [{loaded: [QUICK]}],
    settings: settings => ({
      ...settings,
      stop: {readyGraceMs: 20, stragglerTimeoutMs: 100},
    }),
  });
  try {
    const [entry] = deployment.entries;
    deployment.engines[0].setFaults({isHung: true});
    const straggler = generate(entry.callerAddress).catch(() => undefined);
    await waitUntil(
      () => entry.context.openRequests.count === 1,
      'the straggler is open',
    );
    await entry.stop();
    await straggler;
  } finally {
    await deployment.stop();
  }
});

test('[stop] an idle keep-alive connection does not hold up a stop', async () => {
  const deployment = await startTestDeployment();
  const [entry] = deployment.entries;
  const [host, port] = entry.callerAddress.split(':');
  const socket = connect(Number(port), host);
  await once(socket, 'connect');
  const closed = once(socket, 'close');
  await deployment.stop();
  await closed;
});
