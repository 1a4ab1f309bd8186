import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {
  KeeperCluster,
  applyText,
  waitUntil,
  type ClusterEntry,
} from '../control/keeper_cluster.js';

let cluster: KeeperCluster;
beforeEach(() => {
  cluster = KeeperCluster.create();
});
afterEach(() => cluster.stop());

function revisionsInForce(entries: readonly ClusterEntry[]) {
  return entries.map(({keeper}) => keeper.inForce()?.revision);
}

test('[rules] an accepted change is in force on every member', async () => {
  const entries = await cluster.startMembers(4);
  const outcome = await applyText(entries[0], 'second');
  assert.equal(outcome.state, 'accepted', outcome.reason);
  await waitUntil(() => revisionsInForce(entries).every(r => r === 2));
  assert.deepEqual(
    entries.map(e => e.keeper.content()),
    Array(4).fill('second'),
  );
});

test('[rules] a file with errors is refused with its findings', async () => {
  const [entry] = await cluster.startMembers(1);
  const outcome = await applyText(entry, 'broken');
  assert.equal(outcome.state, 'refused');
  assert.equal(outcome.findings[0].code, 'unknown_verb');
  assert.deepEqual(revisionsInForce([entry]), [1]);
});
