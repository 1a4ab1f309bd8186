import assert from 'node:assert/strict';
import {test} from 'node:test';
import {LostPeers} from '../../src/control/billing/lost_peers.js';

const LOST_AFTER_MS = 100;

test('[billing] a peer that is known only from copies held for it is detected as lost at the silence limit', () => {
  const detector = LostPeers.create(LOST_AFTER_MS);
  assert.deepEqual(detector.check(0, [], ['run-1']), []);
  assert.deepEqual(detector.check(99, [], ['run-1']), []);
  assert.deepEqual(detector.check(100, [], ['run-1']), ['run-1']);
});

test('[billing] a peer that was heard is detected as lost once, at the silence limit', () => {
  const detector = LostPeers.create(LOST_AFTER_MS);
  assert.deepEqual(detector.check(0, ['run-1'], []), []);
  assert.deepEqual(detector.check(50, ['run-1'], ['run-1']), []);
  assert.deepEqual(detector.check(149, [], ['run-1']), []);
  assert.deepEqual(detector.check(150, [], []), ['run-1']);
  assert.deepEqual(detector.check(151, [], []), []);
});
