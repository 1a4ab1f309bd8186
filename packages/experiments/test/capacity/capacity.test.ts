import assert from 'node:assert/strict';
import {test} from 'node:test';
import {fitColumns} from '../../src/capacity/capacity_report.js';
import {evaluateLine, fitLine} from '../../src/capacity/fit_line.js';
import {CAPACITY_COMMANDS} from '../../src/capacity/registry.js';

const SEED = 1;

test('a fit of points on a line returns its slope and intercept', () => {
  const points = [2, 4, 8, 16].map(x => ({x, y: 7 + 3 * x}));
  const fit = fitLine(points);
  assert.ok(Math.abs(fit.slope - 3) < 1e-9);
  assert.ok(Math.abs(fit.intercept - 7) < 1e-9);
  assert.ok(fit.residual < 1e-9);
  assert.ok(Math.abs(evaluateLine(fit, 360) - 1087) < 1e-6);
});

test('a fit of scattered points returns a residual', () => {
  const fit = fitLine([
    {x: 0, y: 1},
    {x: 0, y: -1},
    {x: 1, y: 1},
    {x: 1, y: -1},
  ]);
  assert.equal(fit.slope, 0);
  assert.equal(fit.residual, 1);
});

test('a single size cannot be fitted', () => {
  assert.deepEqual(fitColumns([{members: 2, y: 1}], 'members', ['y'], 360), []);
  assert.throws(() => fitLine([{x: 1, y: 1}]), /two different x/);
});

for (const command of CAPACITY_COMMANDS) {
  test(`${command.name} runs at its smallest size (seed ${SEED})`, async () => {
    const report = await command.run({seed: SEED, isSmall: true});
    assert.equal(report.name, command.name);
    assert.ok(report.rows.length > 0);
    for (const value of report.rows.flatMap(row => Object.values(row))) {
      assert.ok(typeof value === 'string' || Number.isFinite(value));
    }
  });
}
