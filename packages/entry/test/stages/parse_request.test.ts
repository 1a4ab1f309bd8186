import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Settings} from '../../src/config/settings_schema.js';
import {
  parseGenerateBody,
  parseIdempotencyKey,
} from '../../src/stages/parse_request.js';

const SETTINGS = {
  requests: {maxTokens: 100, maxDeadlineMs: 5000},
} as unknown as Settings;

const CASES = [
  {name: 'broken JSON', body: '{', code: 'invalid_json'},
  {name: 'an array in place of an object', body: '[]', code: 'invalid_request'},
  {name: 'no prompt', body: '{"kind":"a"}', code: 'invalid_request'},
  {
    name: 'an unknown field',
    body: '{"kind":"a","prompt":"b","temprature":1}',
    code: 'invalid_request',
  },
  {
    name: 'a model without a version',
    body: '{"kind":"a","prompt":"b","model":"m"}',
    code: 'invalid_request',
  },
  {
    name: 'a negative deadline',
    body: '{"kind":"a","prompt":"b","deadlineMs":-1}',
    code: 'invalid_request',
  },
];

for (const {name, body, code} of CASES) {
  test(`a body with ${name} is refused as ${code}`, () => {
    assert.throws(() => parseGenerateBody(body, SETTINGS), {
      code,
      execution: 'notRun',
    });
  });
}

test('maxTokens and deadlineMs are reduced to the limits of the settings', () => {
  const body = parseGenerateBody(
    '{"kind":"a","prompt":"b","maxTokens":1000,"deadlineMs":90000}',
    SETTINGS,
  );
  assert.equal(body.maxTokens, 100);
  assert.equal(body.deadlineMs, 5000);
});

test('an idempotency key has at most 128 printable ASCII characters without spaces', () => {
  assert.equal(parseIdempotencyKey('order-7'), 'order-7');
  assert.equal(parseIdempotencyKey(undefined), undefined);
  for (const key of ['', 'a b', 'x'.repeat(129), 'é']) {
    assert.throws(() => parseIdempotencyKey(key), {code: 'invalid_request'});
  }
});
