import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createOperatorClient} from '../support/operator_client.js';
import {startTestDeployment, waitUntil} from '../support/test_deployment.js';

const NEXT_VERSION = 'quick@v3';

test('[orders] a plan of an operator is applied once by one entry and recorded in the audit trail', async () => {
  const deployment = await startTestDeployment({entryCount: 2});
  try {
    const [entry] = deployment.entries;
    const [engine] = deployment.engines;
    const operator = createOperatorClient(entry.peerAddress);
    const request = {
      planId: 'load-v3',
      states: [{engine: 'engine-0', loaded: ['quick@v1', NEXT_VERSION]}],
      why: 'the next version',
    };
    await operator.planOrders(request);
    await operator.planOrders(request);
    await waitUntil(
      () => engine.load().loaded.some(({version}) => version === 'v3'),
      'the engine has loaded the version',
    );
    await waitUntil(async () => {
      const {plan} = await operator.getOrders({});
      return plan?.applied === 1 && plan.planned === 0;
    }, 'the plan is applied');
    await waitUntil(async () => {
      const steps = await entry.context.audit.list({action: 'orders.step'});
      return steps.some(({outcome}) => outcome === 'engine-0 applied');
    }, 'the step is in the audit trail');
    const plans = await entry.context.audit.list({action: 'orders.plan'});
    assert.deepEqual(
      plans.map(({who, why}) => [who, why]),
      [['mina', 'the next version']],
    );
  } finally {
    await deployment.stop();
  }
});

test('[orders] cancelling a plan cancels its steps that are not applied yet', async () => {
  const deployment = await startTestDeployment({entryCount: 1});
  try {
    const operator = createOperatorClient(deployment.entries[0].peerAddress);
    await operator.planOrders({
      planId: 'to-nowhere',
      states: [{engine: 'engine-77', loaded: [NEXT_VERSION]}],
      why: 'a host that is not listed',
    });
    const {plan} = await operator.cancelOrders({
      planId: 'to-nowhere',
      why: 'a slip',
    });
    assert.equal(plan?.cancelled, 1);
    assert.equal(plan?.planned, 0);
  } finally {
    await deployment.stop();
  }
});

test('[orders] a plan without an operator token is refused', async () => {
  const deployment = await startTestDeployment({entryCount: 1});
  try {
    const [entry] = deployment.entries;
    const response = await fetch(
      `http://${entry.peerAddress}/anvilrudder.v1.ControlService/PlanOrders`,
      {
        method: 'POST',
        headers: {'content-type': 'application/json'},
        body: '{"planId":"x","why":"y"}',
      },
    );
    assert.equal(response.status, 401);
  } finally {
    await deployment.stop();
  }
});
