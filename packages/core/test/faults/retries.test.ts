import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  HedgeDelayEstimator,
  RetryBudget,
  findRetryRefusal,
  type Execution,
  type GiveUpReason,
} from '../../src/index.js';

const ATTEMPT = {
  attemptCount: 1,
  maxAttempts: 3,
  remainingMs: 5000,
  expectedMs: 1000,
};

const CASES: readonly [Execution, boolean, GiveUpReason | undefined][] = [
  ['notRun', false, undefined],
  ['notRun', true, undefined],
  ['unknown', false, 'mayHaveRun'],
  ['unknown', true, undefined],
  ['ran', false, 'ran'],
  ['ran', true, 'ran'],
];

for (const [execution, isIdempotent, refusal] of CASES) {
  test(`[at-most-once] ${execution}, idempotent ${isIdempotent}: ${refusal ?? 'repeated'}`, () => {
    const attempt = {...ATTEMPT, execution, isIdempotent};
    assert.equal(findRetryRefusal(attempt), refusal);
  });
}

test('[at-most-once] a call that is not idempotent is never hedged', () => {
  const timer = HedgeDelayEstimator.create();
  for (let i = 1; i <= 100; i++) timer.observe(i);
  assert.equal(timer.resolveDelayMs(false), undefined);
  assert.ok((timer.resolveDelayMs(true) ?? 0) > 70);
});

test('no attempt starts that the deadline or the count of attempts forbids', () => {
  const base = {...ATTEMPT, execution: 'notRun', isIdempotent: true} as const;
  assert.equal(findRetryRefusal({...base, attemptCount: 3}), 'attemptsUsed');
  assert.equal(findRetryRefusal({...base, remainingMs: 999}), 'deadline');
});

test('when every attempt fails, the budget bounds the added load to its ratio', () => {
  const budget = RetryBudget.create({ratio: 0.1, minPerS: 0, maxSaved: 20});
  let retries = 0;
  for (let i = 0; i < 10_000; i++) {
    budget.recordFirstAttempt(i);
    while (budget.tryTake(i)) retries += 1;
  }
  assert.ok(retries <= 1000 && retries > 990, `${retries}`);
});
