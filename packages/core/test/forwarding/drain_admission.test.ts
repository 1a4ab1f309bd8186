import assert from 'node:assert/strict';
import {test} from 'node:test';
import {canServeInDrain, DurationEstimator} from '../../src/index.js';

interface Case {
  readonly title: string;
  readonly leftMs: number;
  readonly limitMs: number;
  readonly expectedMs?: number;
  /** Default 0. */
  readonly deviationMs?: number;
  readonly isServed: boolean;
}

const CASES: readonly Case[] = [
  {
    title: 'its limit ends before the drain does',
    leftMs: 4000,
    limitMs: 4000,
    isServed: true,
  },
  {
    title: 'its limit ends in time though such requests used to take longer',
    leftMs: 4000,
    limitMs: 3000,
    expectedMs: 9000,
    isServed: true,
  },
  {
    title: 'such requests end well before the drain does',
    leftMs: 4000,
    limitMs: 12_000,
    expectedMs: 2000,
    isServed: true,
  },
  {
    title: 'such requests just end before the drain does',
    leftMs: 4000,
    limitMs: 12_000,
    expectedMs: 3900,
    isServed: false,
  },
  {
    title: 'nobody knows its length and its limit is beyond the drain',
    leftMs: 4000,
    limitMs: 12_000,
    isServed: false,
  },
  {
    title: 'some of such requests take far longer than the mean',
    leftMs: 4000,
    limitMs: 12_000,
    expectedMs: 2000,
    deviationMs: 600,
    isServed: false,
  },
  {
    title: 'such requests differ little and end before the drain does',
    leftMs: 4000,
    limitMs: 12_000,
    expectedMs: 2000,
    deviationMs: 400,
    isServed: true,
  },
  {
    title: 'the time is over',
    leftMs: -1,
    limitMs: 12_000,
    expectedMs: 0,
    isServed: false,
  },
];

for (const {
  title,
  isServed,
  expectedMs: meanMs,
  deviationMs = 0,
  ...request
} of CASES) {
  test(`a request is ${isServed ? 'served' : 'rejected'} in a drain if ${title}`, () => {
    const expected = meanMs === undefined ? undefined : {meanMs, deviationMs};
    assert.equal(canServeInDrain({...request, expected}), isServed);
  });
}

test('the deviation of durations grows with those that are far from their mean', () => {
  const durations = DurationEstimator.create();
  assert.equal(durations.estimate('read'), undefined);
  durations.observe('read', 200);
  assert.deepEqual(durations.estimate('read'), {meanMs: 200, deviationMs: 0});
  durations.observe('read', 600);
  assert.deepEqual(durations.estimate('read'), {meanMs: 220, deviationMs: 100});
});
