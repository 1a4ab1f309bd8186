import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PooledAnswers} from '../../src/index.js';

const FAILED = {hasFailed: true, slowness: 0.5} as const;

test('rows that arrive twice or out of order are counted once', () => {
  const sender = PooledAnswers.create();
  sender.record('a', 'new', FAILED);
  const first = sender.listOwnRows(0);
  sender.record('a', 'new', {hasFailed: false, slowness: undefined});
  sender.record('b', 'old', FAILED);
  const second = sender.listOwnRows(first.revision);
  const receiver = PooledAnswers.create();
  receiver.record('a', 'new', FAILED);
  for (const {rows} of [second, first, second]) receiver.merge('host/1', rows);
  assert.deepEqual(receiver.read('a', 'new'), {
    requests: 3,
    failures: 2,
    slowness: {count: 2, sum: 1, squareSum: 0.5},
    durations: {count: 0, slowCount: 0},
  });
  assert.equal(receiver.readAll('old').requests, 1);
});

test('a run of a host that has ended keeps its answers beside those of the next run', () => {
  const first = PooledAnswers.create();
  const second = PooledAnswers.create();
  first.record('a', 'new', FAILED);
  first.record('a', 'new', FAILED);
  second.record('a', 'new', FAILED);
  const receiver = PooledAnswers.create();
  receiver.merge('host/1', first.listOwnRows(0).rows);
  receiver.merge('host/2', second.listOwnRows(0).rows);
  assert.equal(receiver.read('a', 'new').failures, 3);
});

test('only rows that changed after a revision are listed', () => {
  const answers = PooledAnswers.create();
  answers.record('a', 'new', FAILED);
  const {revision} = answers.listOwnRows(0);
  assert.deepEqual(answers.listOwnRows(revision).rows, []);
  answers.record('b', 'new', FAILED);
  const {rows} = answers.listOwnRows(revision);
  assert.deepEqual(
    rows.map(({route}) => route),
    ['b'],
  );
});
