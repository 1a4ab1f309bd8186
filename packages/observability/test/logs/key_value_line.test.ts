import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  createLogger,
  formatKeyValueLine,
  parseKeyValueLine,
} from '../../src/index.js';

const SPECIAL_VALUES = [
  '',
  'a b',
  'a=b',
  '"',
  '\\',
  'line\nbreak',
  '\r\n',
  '\u2028',
  '\u0000',
  'é',
  '{"a":"b"}',
  'x" level=error event="forged',
];

test('values with special characters survive the round trip on one line', () => {
  for (const value of SPECIAL_VALUES) {
    const line = formatKeyValueLine({first: value, second: 'end'});
    assert.doesNotMatch(line, /[\r\n\u2028]/);
    assert.deepEqual(parseKeyValueLine(line), {first: value, second: 'end'});
  }
});

test('any string value survives the round trip', () => {
  fc.assert(
    fc.property(fc.string({unit: 'binary'}), fc.string(), (a, b) => {
      const line = formatKeyValueLine({a, b});
      assert.deepEqual(parseKeyValueLine(line), {a, b});
    }),
    {seed: 11},
  );
});

test('a logger writes one parseable line for each event', () => {
  const lines: string[] = [];
  const logger = createLogger({
    name: 'test',
    host: 'h1',
    level: 'info',
    writeLine: line => lines.push(line),
  });
  logger.debug('hidden');
  logger.warn('rules_refused', {reason: 'two\nlines', revision: 3});
  assert.equal(lines.length, 1);
  const fields = parseKeyValueLine(lines[0].trimEnd());
  assert.equal(fields['event'], 'rules_refused');
  assert.equal(fields['level'], 'warn');
  assert.equal(fields['reason'], 'two\nlines');
  assert.equal(fields['revision'], '3');
});

test('a new log level applies to the next event', () => {
  const lines: string[] = [];
  const logger = createLogger({
    name: 'test',
    host: 'h1',
    level: 'info',
    writeLine: line => lines.push(line),
  });
  logger.setLevel('error');
  logger.warn('hidden');
  logger.setLevel('debug');
  logger.debug('shown');
  assert.equal(lines.length, 1);
  assert.equal(parseKeyValueLine(lines[0].trimEnd())['event'], 'shown');
});
