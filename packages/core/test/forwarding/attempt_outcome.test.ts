import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  decideNextStep,
  isProvenNotRun,
  listLargerModels,
  isRetryableKind,
  shouldEscalate,
  type AttemptEnd,
  type NextStep,
} from '../../src/index.js';

interface Case {
  readonly end: AttemptEnd;
  /** Next step of a request that may run once. */
  readonly once: NextStep;
  /** Next step of a request that may run again. */
  readonly again: NextStep;
  /** The same when no further send is allowed. */
  readonly spent: NextStep;
}

const CASES: readonly Case[] = [
  {end: 'answered', once: 'relay', again: 'relay', spent: 'relay'},
  {end: 'failed', once: 'relay', again: 'tryAnotherServer', spent: 'relay'},
  {
    end: 'rejected',
    once: 'tryAnotherServer',
    again: 'tryAnotherServer',
    spent: 'fail',
  },
  {
    end: 'paused',
    once: 'tryAnotherServer',
    again: 'tryAnotherServer',
    spent: 'fail',
  },
  {
    end: 'unprovenRejection',
    once: 'fail',
    again: 'tryAnotherServer',
    spent: 'fail',
  },
  {
    end: 'replaced',
    once: 'tryAnotherServer',
    again: 'tryAnotherServer',
    spent: 'fail',
  },
  {
    end: 'unsent',
    once: 'tryAnotherServer',
    again: 'tryAnotherServer',
    spent: 'fail',
  },
  {
    end: 'withheld',
    once: 'tryAnotherServer',
    again: 'tryAnotherServer',
    spent: 'fail',
  },
  {end: 'lost', once: 'fail', again: 'tryAnotherServer', spent: 'fail'},
  {end: 'garbled', once: 'fail', again: 'tryAnotherServer', spent: 'fail'},
];

for (const {end, once, again, spent} of CASES) {
  test(`after "${end}" a request that may run once: ${once}, again: ${again}`, () => {
    assert.equal(decideNextStep(end, false, true), once);
    assert.equal(decideNextStep(end, true, true), again);
    assert.equal(decideNextStep(end, true, false), spent);
  });
}

test('only refused and unsent requests are proven not to have run', () => {
  const proven = CASES.map(({end}) => end).filter(isProvenNotRun);
  assert.deepEqual(proven, [
    'rejected',
    'paused',
    'replaced',
    'unsent',
    'withheld',
  ]);
});

test('a stream runs again only where it can be resumed', () => {
  assert.equal(isRetryableKind('stream', true), true);
  assert.equal(isRetryableKind('stream', false), false);
  assert.equal(isRetryableKind('atMostOnce', true), false);
  assert.equal(isRetryableKind('idempotent', false), true);
});

const BASE_INPUT = {
  usedBudgetShare: 0,
  capacityPrice: 0,
  expectedFirstMs: 200,
  expectedRestMs: 1000,
  largerCorrectProbability: 1,
  latencyTargetLeftMs: 1500,
  timeLeftMs: 10_000,
};

test('an answer of low confidence is escalated while the larger model is fast', () => {
  assert.equal(shouldEscalate({...BASE_INPUT, confidence: 20}), true);
  assert.equal(shouldEscalate({...BASE_INPUT, confidence: 90}), false);
  assert.equal(shouldEscalate({...BASE_INPUT, confidence: undefined}), false);
});

test('a slower larger model lowers the confidence below which answers are escalated', () => {
  const late = {...BASE_INPUT, expectedFirstMs: 1600};
  assert.equal(shouldEscalate({...late, confidence: 45}), false);
  assert.equal(shouldEscalate({...late, confidence: 5}), true);
  const beyondTimeLimit = {...BASE_INPUT, expectedFirstMs: 12_000};
  assert.equal(shouldEscalate({...beyondTimeLimit, confidence: 0}), false);
});

test('a nearly used retry budget is spent on the answers of lowest confidence', () => {
  const scarce = {...BASE_INPUT, usedBudgetShare: 0.9};
  assert.equal(shouldEscalate({...scarce, confidence: 40}), false);
  assert.equal(shouldEscalate({...scarce, confidence: 5}), true);
});

test('an answer is kept when the larger model cannot finish in time', () => {
  const long = {...BASE_INPUT, expectedRestMs: 9000};
  assert.equal(shouldEscalate({...long, confidence: 5}), false);
});

test('only answers of lowest confidence are escalated to an intermediate model', () => {
  const middle = {...BASE_INPUT, largerCorrectProbability: 0.65};
  assert.equal(shouldEscalate({...middle, confidence: 40}), false);
  assert.equal(shouldEscalate({...middle, confidence: 5}), true);
});

test('the largest model is listed first, intermediate ones after it', () => {
  const larger = listLargerModels(['s', 'm', 'l'], 's');
  assert.deepEqual(
    larger.map(({model}) => model),
    ['l', 'm'],
  );
  assert.deepEqual(listLargerModels(['s', 'm', 'l'], 'l'), []);
});
