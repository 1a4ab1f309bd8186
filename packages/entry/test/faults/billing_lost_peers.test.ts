import assert from 'node:assert/strict';
import {test} from 'node:test';
import {LostPeerDetector} from '../../src/control/billing/lost_peer_detector.js';

const LOST_AFTER_MS = 100;

test('[billing] the copies of a peer lost before it was ever heard are handed off', () => {
  const peers = LostPeerDetector.create(LOST_AFTER_MS);
  assert.deepEqual(peers.detect(0, [], ['run-1']), []);
  assert.deepEqual(peers.detect(99, [], ['run-1']), []);
  assert.deepEqual(peers.detect(100, [], ['run-1']), ['run-1']);
});

test('[billing] a peer that was heard is lost after its silence, once', () => {
  const peers = LostPeerDetector.create(LOST_AFTER_MS);
  assert.deepEqual(peers.detect(0, ['run-1'], []), []);
  assert.deepEqual(peers.detect(50, ['run-1'], ['run-1']), []);
  assert.deepEqual(peers.detect(149, [], ['run-1']), []);
  assert.deepEqual(peers.detect(150, [], []), ['run-1']);
  assert.deepEqual(peers.detect(151, [], []), []);
});
