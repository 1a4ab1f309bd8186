import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Sample} from '../../src/harness/experiment.js';
import {formatHtmlPage, formatTables} from '../../src/harness/report.js';
import {runExperiment} from '../../src/harness/run_experiment.js';
import {
  createSummaryReader,
  summarizeSamples,
} from '../../src/harness/metric_summary.js';
import {EXPERIMENTS} from '../../src/registry.js';
import {EventQueue} from '../../src/service/event_queue.js';
import {BACKEND_CHOICE} from '../../src/service/backend_choice.js';

function createSample(policy: string, value: number): Sample {
  return {scenario: 'plain', policy, metrics: [{name: 'costPerMtok', value}]};
}

test('samples are summarized over seeds for each policy', () => {
  const summaries = summarizeSamples([
    createSample('a', 1),
    createSample('a', 3),
    createSample('b', 5),
  ]);
  const read = createSummaryReader(summaries);
  const summary = read('plain', 'a', 'costPerMtok');
  assert.equal(summary.mean, 2);
  assert.equal(summary.min, 1);
  assert.equal(summary.max, 3);
  assert.equal(summary.seedCount, 2);
  assert.throws(() => read('plain', 'c', 'costPerMtok'), /not measured/);
});

test('reports mark a missed goal as MISSED', () => {
  const report = {
    name: 'x',
    description: 'x',
    seedCount: 1,
    spreads: summarizeSamples([createSample('a', 1)]),
    goals: [{goal: 'cheap', measured: '9', isMet: false}],
  };
  assert.match(formatTables(report), /MISSED: cheap; measured 9/);
  assert.match(formatHtmlPage(report), /MISSED: cheap/);
});

test('experiment names are unique', () => {
  const names = EXPERIMENTS.map(({name}) => name);
  assert.equal(new Set(names).size, names.length);
});

test('events run by time, and in scheduling order at the same time', () => {
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

test('runs with the same seed give the same report', () => {
  const [first, second] = [1, 2].map(() => runExperiment(BACKEND_CHOICE, 1));
  assert.deepEqual(first, second);
});
