import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  ERROR_DEFINITIONS,
  RouterError,
  createErrorBody,
  normalizeError,
} from '../../src/index.js';

test('an error has the execution of its code unless it is overridden', () => {
  const plain = RouterError.create('x', {code: 'deadline_exceeded'});
  const early = RouterError.create('x', {
    code: 'deadline_exceeded',
    execution: 'notRun',
  });
  assert.equal(plain.execution, 'unknown');
  assert.equal(early.execution, 'notRun');
});

test('an unexpected error gets the code internal and its message is not exposed', () => {
  const body = createErrorBody(normalizeError(new Error('secret')), 'r-1');
  assert.equal(body.error.code, 'internal');
  assert.doesNotMatch(JSON.stringify(body), /secret/);
});

test('no code with the execution notRun has the HTTP status 500', () => {
  for (const [code, definition] of Object.entries(ERROR_DEFINITIONS)) {
    if (definition.execution !== 'notRun') continue;
    assert.notEqual(definition.httpStatus, 500, code);
  }
});
