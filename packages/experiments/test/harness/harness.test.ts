import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Sample} from '../../src/harness/experiment.js';
import {formatPage, formatTables} from '../../src/harness/report.js';
import {runExperiment} from '../../src/harness/run_experiment.js';
import {
  createSpreadReader,
  summarizeSamples,
} from '../../src/harness/spread.js';
import {EXPERIMENTS} from '../../src/registry.js';
import {EventQueue} from '../../src/service/event_queue.js';
import {BACKEND_CHOICE} from '../../src/service/backend_choice.js';

function createSample(policy: string, value: number): Sample {
  return {scenario: 'plain', policy, metrics: [{name: 'costPerMtok', value}]};
}

test('spreads are taken over seeds, by policy', () => {
  const spreads = summarizeSamples([
    createSample('a', 1),
    createSample('a', 3),
    createSample('b', 5),
  ]);
  const read = createSpreadReader(spreads);
  const spread = read('plain', 'a', 'costPerMtok');
  assert.equal(spread.mean, 2);
  assert.equal(spread.min, 1);
  assert.equal(spread.max, 3);
  assert.equal(spread.seedCount, 2);
  assert.throws(() => read('plain', 'c', 'costPerMtok'), /not measured/);
});

test('a missed goal is printed as missed', () => {
  const report = {
    name: 'x',
    description: 'x',
    seedCount: 1,
    spreads: summarizeSamples([createSample('a', 1)]),
    goals: [{goal: 'cheap', measured: '9', isMet: false}],
  };
  assert.match(formatTables(report), /MISSED: cheap; measured 9/);
  assert.match(formatPage(report), /MISSED: cheap/);
});

test('experiments have names of their own', () => {
  const names = EXPERIMENTS.map(({name}) => name);
  assert.equal(new Set(names).size, names.length);
});

test('events run in the order of their time, then of their scheduling', () => {
  const events = EventQueue.create();
  const seen: string[] = [];
  events.at(20, () => seen.push('c'));
  events.at(10, () => {
    seen.push('a');
    events.after(5, () => seen.push('b'));
  });
  events.at(20, () => seen.push('d'));
  events.at(99, () => seen.push('late'));
  events.runUntil(50);
  assert.deepEqual(seen, ['a', 'b', 'c', 'd']);
});

test('the same seed gives the same figures', () => {
  const [first, second] = [1, 2].map(() => runExperiment(BACKEND_CHOICE, 1));
  assert.deepEqual(first, second);
});
