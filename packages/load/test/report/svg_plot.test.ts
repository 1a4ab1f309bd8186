import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSvgPlot, formatTable} from '../../src/index.js';

test('a plot escapes texts and scales all points into the plot area', () => {
  const plot = createSvgPlot({
    title: 'a < b & "c"',
    xLabel: 'x',
    yLabel: 'y',
    xTicks: [{value: 2, label: 'two'}],
    lines: [
      {name: 'flat', points: [{x: 0, y: 0}]},
      {name: 'high', points: [{x: 4, y: 1000}]},
      {name: 'empty', points: []},
    ],
  });
  assert.match(plot, /a &lt; b &amp; &quot;c&quot;/);
  assert.match(plot, />two</);
  assert.match(plot, /points="70.0,350.0"/);
  assert.match(plot, /points="560.0,40.0"/);
  assert.doesNotMatch(plot, /NaN|Infinity/);
});

test('a table left-aligns the first column and right-aligns the others', () => {
  const table = formatTable([
    ['name', 'n'],
    ['a', '100'],
  ]);
  assert.equal(table, 'name    n\na     100');
});
