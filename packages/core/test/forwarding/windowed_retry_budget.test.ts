import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as fc from 'fast-check';
import {WindowedRetryBudget} from '../../src/index.js';

const WINDOW_MS = 10_000;

test('retries are limited to a ratio of the first sends', () => {
  const budget = WindowedRetryBudget.create({
    ratio: 0.5,
    extra: 0,
    windowMs: WINDOW_MS,
  });
  for (let count = 0; count < 10; count += 1) budget.recordFirst(0);
  const taken = Array.from({length: 10}, () => budget.tryTake(1));
  assert.equal(taken.filter(Boolean).length, 5);
});

test('used retries are available again after the window has passed', () => {
  const budget = WindowedRetryBudget.create({
    ratio: 0,
    extra: 1,
    windowMs: WINDOW_MS,
  });
  assert.equal(budget.tryTake(0), true);
  assert.equal(budget.tryTake(WINDOW_MS - 1), false);
  assert.equal(budget.tryTake(WINDOW_MS * 1.1), true);
});

test('a reserve remains for more urgent retries', () => {
  const budget = WindowedRetryBudget.create({
    ratio: 0,
    extra: 3,
    windowMs: WINDOW_MS,
  });
  assert.equal(budget.tryTake(0, 2), true);
  assert.equal(budget.tryTake(0, 2), false);
  assert.equal(budget.tryTake(0), true);
});

test('no window at any position contains more retries than its limit', () => {
  const step = fc.record({
    waitMs: fc.integer({min: 0, max: 900}),
    isFirst: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 300}), steps => {
      const ratio = 0.9;
      const budget = WindowedRetryBudget.create({
        ratio,
        extra: 3,
        windowMs: WINDOW_MS,
      });
      const firstsMs: number[] = [];
      const retriesMs: number[] = [];
      let nowMs = 0;
      for (const {waitMs, isFirst} of steps) {
        nowMs += waitMs;
        if (isFirst) {
          budget.recordFirst(nowMs);
          firstsMs.push(nowMs);
        } else if (budget.tryTake(nowMs)) retriesMs.push(nowMs);
      }
      const count = (times: readonly number[], endMs: number): number =>
        times.filter(ms => ms <= endMs && ms > endMs - WINDOW_MS).length;
      // First sends count for up to one bucket longer than the window.
      const countEarly = (times: readonly number[], endMs: number): number =>
        times.filter(ms => ms <= endMs && ms > endMs - WINDOW_MS * 1.1).length;
      for (const endMs of retriesMs) {
        const bound = ratio * countEarly(firstsMs, endMs) + 3;
        assert.ok(count(retriesMs, endMs) <= bound + 1e-9);
      }
    }),
  );
});
