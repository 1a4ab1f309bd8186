import assert from 'node:assert/strict';
import {test} from 'node:test';
import {MetricRegistry} from '../../src/index.js';

test('counters, gauges and summaries are written in the text format', () => {
  const metrics = MetricRegistry.create();
  metrics.count('requests_total', {code: 'ok'});
  metrics.count('requests_total', {code: 'ok'}, 2);
  metrics.registerGauge('in_flight', () => 4);
  for (let ms = 1; ms <= 100; ms += 1) {
    metrics.recordMs('first_token_seconds', {}, ms);
  }
  const text = metrics.formatText();
  assert.match(text, /anvilrudder_requests_total\{code="ok"\} 3/);
  assert.match(text, /anvilrudder_in_flight 4/);
  assert.match(text, /anvilrudder_first_token_seconds_count 100/);
  const p95 = metrics.readPercentileMs('first_token_seconds', 95) ?? 0;
  assert.ok(p95 >= 94.9 && p95 <= 95.2, `p95 ${p95}`);
});

test('a label value cannot break out of its quotes', () => {
  const metrics = MetricRegistry.create();
  metrics.count('requests_total', {code: 'a"} 5\nforged 1'});
  const lines = metrics.formatText().trimEnd().split('\n');
  assert.equal(lines.length, 2);
});
