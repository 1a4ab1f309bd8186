import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {applyLineDelta, createLineDelta} from '../src/index.js';

const SEED = 20261203;
const anyText = fc
  .array(fc.constantFrom('a', 'b', '', 'a b'), {maxLength: 6})
  .map(lines => lines.join('\n'));

test('applying a delta to its base gives the text, for random texts', context => {
  context.diagnostic(`seed ${SEED}`);
  fc.assert(
    fc.property(anyText, anyText, (base, text) => {
      const delta = createLineDelta(base, text);
      assert.equal(applyLineDelta(base, delta), text);
    }),
    {seed: SEED, numRuns: 2_000},
  );
});

test('a delta contains only the lines that differ', () => {
  const base = ['a', 'b', 'c', 'd'].join('\n');
  const text = ['a', 'x', 'c', 'd'].join('\n');
  assert.deepEqual(createLineDelta(base, text), {
    prefixLines: 1,
    suffixLines: 2,
    replacement: 'x\n',
  });
});
