import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  decideNextStep,
  isProvenNotRun,
  listLargerModels,
  isRepeatableKind,
  shouldEscalate,
  type AttemptEnd,
  type NextStep,
} from '../../src/index.js';

interface Case {
  readonly end: AttemptEnd;
  readonly once: NextStep;
  readonly again: NextStep;
  readonly spent: NextStep;
}

const CASES: readonly Case[] = [
  {end: 'answered', once: 'relay', again: 'relay', spent: 'relay'},
  {end: 'failed', once: 'relay', again: 'elsewhere', spent: 'relay'},
  {end: 'rejected', once: 'elsewhere', again: 'elsewhere', spent: 'giveUp'},
  {end: 'replaced', once: 'elsewhere', again: 'elsewhere', spent: 'giveUp'},
  {end: 'unsent', once: 'elsewhere', again: 'elsewhere', spent: 'giveUp'},
  {end: 'lost', once: 'giveUp', again: 'elsewhere', spent: 'giveUp'},
  {end: 'garbled', once: 'giveUp', again: 'elsewhere', spent: 'giveUp'},
];

for (const {end, once, again, spent} of CASES) {
  test(`after "${end}" a request that may run once: ${once}, again: ${again}`, () => {
    assert.equal(decideNextStep(end, false, true), once);
    assert.equal(decideNextStep(end, true, true), again);
    assert.equal(decideNextStep(end, true, false), spent);
  });
}

test('only what surely did not run is proven not run', () => {
  const proven = CASES.map(({end}) => end).filter(isProvenNotRun);
  assert.deepEqual(proven, ['rejected', 'replaced', 'unsent']);
});

test('a stream runs again only where it can be resumed', () => {
  assert.equal(isRepeatableKind('stream', true), true);
  assert.equal(isRepeatableKind('stream', false), false);
  assert.equal(isRepeatableKind('atMostOnce', true), false);
  assert.equal(isRepeatableKind('idempotent', false), true);
});

const CALM = {
  usedBudgetShare: 0,
  expectedFirstMs: 200,
  expectedRestMs: 1000,
  largerCorrectProbability: 1,
  latencyTargetLeftMs: 1500,
  timeLeftMs: 10_000,
};

test('an unsure answer is given up while the larger model is quick', () => {
  assert.equal(shouldEscalate({...CALM, confidence: 20}), true);
  assert.equal(shouldEscalate({...CALM, confidence: 90}), false);
  assert.equal(shouldEscalate({...CALM, confidence: undefined}), false);
});

test('the later the larger model would answer, the surer the answer that stays', () => {
  const late = {...CALM, expectedFirstMs: 1600};
  assert.equal(shouldEscalate({...late, confidence: 45}), false);
  assert.equal(shouldEscalate({...late, confidence: 5}), true);
  const hopeless = {...CALM, expectedFirstMs: 12_000};
  assert.equal(shouldEscalate({...hopeless, confidence: 0}), false);
});

test('scarce repeats go to the least sure answers', () => {
  const scarce = {...CALM, usedBudgetShare: 0.9};
  assert.equal(shouldEscalate({...scarce, confidence: 40}), false);
  assert.equal(shouldEscalate({...scarce, confidence: 5}), true);
});

test('an answer that the larger model cannot finish in time stays', () => {
  const long = {...CALM, expectedRestMs: 9000};
  assert.equal(shouldEscalate({...long, confidence: 5}), false);
});

test('a middle model follows only the least sure answers', () => {
  const middle = {...CALM, largerCorrectProbability: 0.65};
  assert.equal(shouldEscalate({...middle, confidence: 40}), false);
  assert.equal(shouldEscalate({...middle, confidence: 5}), true);
});

test('the largest model comes first, those between behind it', () => {
  const larger = listLargerModels(['s', 'm', 'l'], 's');
  assert.deepEqual(
    larger.map(({model}) => model),
    ['l', 'm'],
  );
  assert.deepEqual(listLargerModels(['s', 'm', 'l'], 'l'), []);
});
