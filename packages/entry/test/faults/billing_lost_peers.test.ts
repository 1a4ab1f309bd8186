import assert from 'node:assert/strict';
import {test} from 'node:test';
import {LostPeers} from '../../src/control/billing/lost_peers.js';

const LOST_AFTER_MS = 100;

test('[billing] the copies of a peer lost before it was ever heard are handed off', () => {
  const peers = LostPeers.create(LOST_AFTER_MS);
  assert.deepEqual(peers.check(0, [], ['run-1']), []);
  assert.deepEqual(peers.check(99, [], ['run-1']), []);
  assert.deepEqual(peers.check(100, [], ['run-1']), ['run-1']);
});

test('[billing] a peer that was heard is lost after its silence, once', () => {
  const peers = LostPeers.create(LOST_AFTER_MS);
  assert.deepEqual(peers.check(0, ['run-1'], []), []);
  assert.deepEqual(peers.check(50, ['run-1'], ['run-1']), []);
  assert.deepEqual(peers.check(149, [], ['run-1']), []);
  assert.deepEqual(peers.check(150, [], []), ['run-1']);
  assert.deepEqual(peers.check(151, [], []), []);
});
