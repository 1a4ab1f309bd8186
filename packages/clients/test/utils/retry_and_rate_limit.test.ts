import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  CircuitBreaker,
  TokenBucket,
  computeBackoffMs,
} from '../../src/index.js';

test('the backoff is uniform below a bound that doubles up to a maximum', () => {
  const options = {baseMs: 100, maxMs: 500};
  const bounds = [0, 1, 2, 3, 2000].map(attempt =>
    computeBackoffMs(attempt, options, () => 1),
  );
  assert.deepEqual(bounds, [100, 200, 400, 500, 500]);
  assert.equal(
    computeBackoffMs(2, options, () => 0),
    0,
  );
});

test('a token bucket allows its burst, then its rate, and rejects long waits', () => {
  const bucket = TokenBucket.create({ratePerS: 10, burst: 2}, 0);
  const waits = [0, 0, 0, 0].map(nowMs => bucket.reserve(nowMs, 250));
  assert.deepEqual(waits, [0, 0, 100, 200]);
  assert.equal(bucket.reserve(0, 250), undefined);
  assert.equal(bucket.reserve(100, 250), 200);
  assert.equal(bucket.reserve(10_000, 0), 0);
});

test('a circuit opens after consecutive failures and closes after a probe', () => {
  const options = {failureThreshold: 2, maxOpenMs: 100};
  const circuit = CircuitBreaker.create(options, () => 1);
  circuit.recordFailure(0);
  circuit.recordSuccess();
  circuit.recordFailure(0);
  assert.equal(circuit.tryAdmit(0), true);
  circuit.recordFailure(0);
  assert.equal(circuit.tryAdmit(99), false);
  assert.equal(circuit.tryAdmit(100), true);
  assert.equal(circuit.tryAdmit(100), false, 'one probe at a time');
  circuit.recordFailure(100);
  assert.equal(circuit.tryAdmit(199), false);
  assert.equal(circuit.tryAdmit(200), true);
  circuit.recordUnrelatedFailure();
  assert.equal(circuit.tryAdmit(200), true);
  circuit.recordSuccess();
  assert.equal(circuit.tryAdmit(200), true);
});
