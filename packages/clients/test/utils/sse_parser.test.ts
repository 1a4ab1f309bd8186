import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {SseParser} from '../../src/utils/sse_parser.js';

const SEED = 20_260;

test(`events do not depend on how the bytes are split into chunks (seed ${SEED})`, () => {
  const event = fc.record(
    {
      name: fc.stringMatching(/^[a-z]{1,8}$/),
      data: fc.jsonValue().map(value => JSON.stringify(value)),
    },
    {noNullPrototype: true},
  );
  const property = fc.property(
    fc.array(event, {maxLength: 5}),
    fc.integer({min: 1, max: 7}),
    fc.constantFrom('\n', '\r\n'),
    (events, chunkBytes, newline) => {
      const text = events
        .map(({name, data}) => [`event: ${name}`, `data: ${data}`, '', ''])
        .map(lines => lines.join(newline))
        .join('');
      const bytes = Buffer.from(text);
      const parser = SseParser.create();
      const parsed = [];
      for (let at = 0; at < bytes.length; at += chunkBytes) {
        parsed.push(...parser.push(bytes.subarray(at, at + chunkBytes)));
      }
      assert.deepEqual(parsed, events);
    },
  );
  fc.assert(property, {seed: SEED});
});

test('comments are skipped, unnamed events parsed and oversized ones rejected', () => {
  const parser = SseParser.create();
  const events = parser.push(Buffer.from(': ping\n\ndata: a\ndata: b\n\n'));
  assert.deepEqual(events, [{name: 'message', data: 'a\nb'}]);
  assert.throws(() => parser.push(Buffer.alloc(1024 * 1024 + 1, 'x')));
});
