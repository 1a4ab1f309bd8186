import assert from 'node:assert/strict';
import {test} from 'node:test';
import {RouterError, type HoldRequest} from '@anvilrudder/core';
import {createRouterTransport} from '@connectrpc/connect';
import {LedgerService} from '../../src/gen/anvilrudder/v1/ledger_pb.js';
import {
  createHoldClient,
  createLedgerHandlers,
} from '../../src/ledger/ledger_rpc.js';

const REQUEST: HoldRequest = {
  batch: {
    shard: 2,
    incarnation: 'entry-1-1',
    sequence: 7,
    records: [
      {
        requestId: 'r1',
        organisation: 'hanbit',
        period: '2026-12',
        kind: 'icebreaker',
        model: 'quick',
        version: 'v1',
        promptTokens: 10,
        outputTokens: 20,
        costMicros: 0.5,
      },
    ],
  },
  durableThrough: 6,
};

function createHoldClientFor(
  hold: (request: HoldRequest) => void,
): (request: HoldRequest) => Promise<void> {
  const transport = createRouterTransport(router =>
    router.service(LedgerService, createLedgerHandlers(hold)),
  );
  return createHoldClient(transport);
}

test('copies reach the peer unchanged', async () => {
  const received: HoldRequest[] = [];
  await createHoldClientFor(request => received.push(request))(REQUEST);
  assert.deepEqual(received, [REQUEST]);
});

test('the call rejects with the message of a peer that cannot hold the copies', async () => {
  const hold = createHoldClientFor(() => {
    throw RouterError.create('Too many copies.', {code: 'overloaded'});
  });
  await assert.rejects(hold(REQUEST), /Too many copies/);
});
