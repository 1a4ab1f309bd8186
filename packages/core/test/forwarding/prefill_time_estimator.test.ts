import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createRandom, PrefillTimeEstimator} from '../../src/index.js';

test('the speed is that of reading alone, not of waiting', () => {
  const random = createRandom(3);
  const speed = PrefillTimeEstimator.create({initialMsPerToken: 1});
  for (let count = 0; count < 400; count += 1) {
    const waitMs = random() < 0.5 ? 0 : random() * 2000;
    speed.observe('m', 1000, 50 + waitMs);
  }
  const msPerToken = speed.estimateMsPerToken('m');
  assert.ok(msPerToken > 0.03 && msPerToken < 0.08, `${msPerToken}`);
});

test('each model has a speed of its own', () => {
  const speed = PrefillTimeEstimator.create({initialMsPerToken: 0.02});
  for (let count = 0; count < 200; count += 1) speed.observe('large', 1000, 90);
  assert.equal(speed.estimateMsPerToken('small'), 0.02);
  assert.ok(speed.estimateMsPerToken('large') > 0.07);
});

test('forecasts that were too long are corrected', () => {
  const speed = PrefillTimeEstimator.create({initialMsPerToken: 0.02});
  for (let count = 0; count < 200; count += 1) speed.observeForecast(1000, 400);
  const forecastMs = speed.forecastMs(1000);
  assert.ok(forecastMs > 380 && forecastMs < 450, `${forecastMs}`);
});

test('a forecast that is far off is not followed beyond reason', () => {
  const speed = PrefillTimeEstimator.create({initialMsPerToken: 0.02});
  for (let count = 0; count < 500; count += 1) speed.observeForecast(1, 9000);
  assert.ok(speed.forecastMs(100) <= 301);
});
