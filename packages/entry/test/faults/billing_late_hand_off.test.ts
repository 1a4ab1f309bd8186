import assert from 'node:assert/strict';
import {test} from 'node:test';
import {BILLING_BATCH_PREFIX} from '@anvilrudder/core';
import {createBillingCompactor} from '../../src/control/billing/billing_compactor.js';
import {createBillingJournal} from '../../src/control/billing/billing_journal.js';
import {createHeldCopyBuffer} from '../../src/control/billing/held_copy_buffer.js';
import {readUsage} from '../../src/control/billing/usage_report.js';
import {createRecord} from '../support/billing_records.js';
import {MemoryObjectStore} from '../support/memory_object_store.js';

const INCARNATION = 'entry-1-1';
const SHARD_COUNT = 1;

/**
 * A journal whose first peer holds a copy but answers too late, so that the
 * second one holds the copies from then on.
 */
function createFixture() {
  const store = MemoryObjectStore.create();
  const [formerBuffer, currentBuffer] = [0, 1].map(() =>
    createHeldCopyBuffer({store}),
  );
  const peers = [
    {
      host: 'entry-2',
      hold: (request: Parameters<typeof formerBuffer.hold>[0]) => {
        formerBuffer.hold(request);
        return Promise.reject(new Error('no answer in time'));
      },
    },
    {
      host: 'entry-3',
      hold: (request: Parameters<typeof formerBuffer.hold>[0]) => {
        currentBuffer.hold(request);
        return Promise.resolve();
      },
    },
  ];
  const journal = createBillingJournal({
    store,
    incarnation: INCARNATION,
    choosePeer: excluded => peers.find(({host}) => !excluded.has(host)),
    maxBatchAgeMs: 3_600_000,
  });
  const member = {host: 'entry-4', incarnation: 'entry-4-1'};
  const compactor = createBillingCompactor({store, member, shard: 0});
  const compact = async (): Promise<void> => {
    for (let count = 0; count < 3; count += 1) await compactor.compact();
  };
  return {store, journal, formerBuffer, compact};
}

test('[billing] a former peer does not write the copies of a batch that the totals include', async () => {
  const {store, journal, formerBuffer, compact} = createFixture();
  for (const requestId of ['r1', 'r2', 'r3']) {
    await journal.commit(createRecord(requestId));
    await journal.flush();
  }
  await compact();
  assert.equal(formerBuffer.recordCount, 1);
  const linksBefore = store.list(BILLING_BATCH_PREFIX);
  await formerBuffer.handOff(INCARNATION);
  assert.deepEqual(
    (await store.list(BILLING_BATCH_PREFIX)).objects.map(({key}) => key),
    (await linksBefore).objects.map(({key}) => key),
  );
  assert.equal(formerBuffer.recordCount, 0);
  await compact();
  const usage = await readUsage(store, SHARD_COUNT);
  assert.equal(usage['2026-12/hanbit'].requestCount, 3);
});

test('[billing] a former peer writes the copies of a batch that is stored nowhere', async () => {
  const {store, journal, formerBuffer, compact} = createFixture();
  await journal.commit(createRecord('r1'));
  journal.stop();
  await formerBuffer.handOff(INCARNATION);
  await compact();
  const usage = await readUsage(store, SHARD_COUNT);
  assert.equal(usage['2026-12/hanbit'].requestCount, 1);
});

test('[billing] a hand-off that cannot read the totals is repeated', async () => {
  const {store, journal, formerBuffer, compact} = createFixture();
  await journal.commit(createRecord('r1'));
  journal.stop();
  store.injectFaults({method: 'get', fault: 'refused'});
  await formerBuffer.handOff(INCARNATION);
  while (formerBuffer.recordCount > 0)
    await new Promise(resolve => setTimeout(resolve, 10));
  await compact();
  const usage = await readUsage(store, SHARD_COUNT);
  assert.equal(usage['2026-12/hanbit'].requestCount, 1);
  formerBuffer.stop();
});
