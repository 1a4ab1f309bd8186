import assert from 'node:assert/strict';
import {test} from 'node:test';
import {LostPeerDetector} from '../../src/control/billing/lost_peer_detector.js';

const LOST_AFTER_MS = 100;

test('[billing] a peer that is known only from copies held for it is detected as lost at the silence limit', () => {
  const detector = LostPeerDetector.create(LOST_AFTER_MS);
  assert.deepEqual(detector.detect(0, [], ['run-1']), []);
  assert.deepEqual(detector.detect(99, [], ['run-1']), []);
  assert.deepEqual(detector.detect(100, [], ['run-1']), ['run-1']);
});

test('[billing] a peer that was heard is detected as lost once, at the silence limit', () => {
  const detector = LostPeerDetector.create(LOST_AFTER_MS);
  assert.deepEqual(detector.detect(0, ['run-1'], []), []);
  assert.deepEqual(detector.detect(50, ['run-1'], ['run-1']), []);
  assert.deepEqual(detector.detect(149, [], ['run-1']), []);
  assert.deepEqual(detector.detect(150, [], []), ['run-1']);
  assert.deepEqual(detector.detect(151, [], []), []);
});
