import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  ERROR_DEFINITIONS,
  RouterError,
  createErrorBody,
  normalizeError,
} from '../../src/index.js';

test('an error carries the execution of its code unless overridden', () => {
  const plain = RouterError.create('x', {code: 'deadline_exceeded'});
  const early = RouterError.create('x', {
    code: 'deadline_exceeded',
    execution: 'notRun',
  });
  assert.equal(plain.execution, 'unknown');
  assert.equal(early.execution, 'notRun');
});

test('an unexpected fault becomes internal and keeps its message private', () => {
  const body = createErrorBody(normalizeError(new Error('secret')), 'r-1');
  assert.equal(body.error.code, 'internal');
  assert.doesNotMatch(JSON.stringify(body), /secret/);
});

test('every code that says not run is a refusal, never a failure of the call', () => {
  for (const [code, definition] of Object.entries(ERROR_DEFINITIONS)) {
    if (definition.execution !== 'notRun') continue;
    assert.notEqual(definition.httpStatus, 500, code);
  }
});
