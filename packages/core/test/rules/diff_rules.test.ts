import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  applyDelta,
  decodeDelta,
  diffRules,
  encodeDelta,
} from '../../src/index.js';

const line = fc.oneof(
  fc.constantFrom('a', 'b', '', 'allow x=y # k: w', 'c\r'),
  fc.string({unit: 'binary'}),
);
const file = fc.array(line, {maxLength: 30}).map(lines => lines.join('\n'));

test('a delta builds exactly the new file, also after encoding and decoding', () => {
  fc.assert(
    fc.property(file, file, (before, after) => {
      const delta = diffRules(before, after);
      const decoded = decodeDelta(encodeDelta(delta));
      assert.deepEqual(decoded, delta);
      assert.equal(applyDelta(before, delta), after);
    }),
  );
});

test('the delta for one changed line of many inserts one line', () => {
  const lines = Array.from({length: 2000}, (_, index) => `rule ${index}`);
  const changed = lines.with(1000, 'rule changed');
  const delta = diffRules(lines.join('\n'), changed.join('\n'));
  assert.deepEqual(delta.steps, [
    {start: 0, count: 1000},
    {line: 'rule changed'},
    {start: 1001, count: 999},
  ]);
});

test('rejects a delta that was made for another old file', () => {
  const delta = diffRules('a\nb', 'a\nb\nc');
  assert.equal(applyDelta('a\nx', delta), undefined);
  assert.equal(applyDelta('a', delta), undefined);
});

test('rejects a delta whose result exceeds the size limit', () => {
  const before = 'x'.repeat(1000);
  const steps = Array.from({length: 100_000}, () => ({start: 0, count: 1}));
  assert.equal(applyDelta(before, {resultDigest: '', steps}), undefined);
});

const MALFORMED = [
  '',
  'null',
  '[]',
  '{"sha256":1,"steps":[]}',
  '{"sha256":"x","steps":[[0]]}',
  '{"sha256":"x","steps":[[-1,1]]}',
  '{"sha256":"x","steps":[[0,1.5]]}',
  '{"sha256":"x","steps":[{"start":0,"count":1}]}',
];

for (const text of MALFORMED) {
  test(`rejects the malformed delta ${JSON.stringify(text)}`, () => {
    assert.equal(decodeDelta(text), undefined);
  });
}
