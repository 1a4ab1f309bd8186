import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ERROR_DEFINITIONS, type ErrorDefinition} from '@anvilrudder/core';
import {readCodeSpans, readTableRows} from './doc_tables.js';

test('the errors page lists every error as it is defined', () => {
  const listed = readTableRows('docs/api/errors.md').map(cells => [
    readCodeSpans(cells[0])[0],
    ...cells.slice(1, 5),
  ]);
  const definitions: Readonly<Record<string, ErrorDefinition>> =
    ERROR_DEFINITIONS;
  const defined = Object.entries(definitions).map(([code, definition]) => [
    code,
    String(definition.httpStatus),
    definition.execution,
    definition.isRetryable ? 'yes' : 'no',
    definition.description,
  ]);
  assert.deepEqual(listed, defined);
});

test('the errors page says what the caller can do about each error', () => {
  for (const cells of readTableRows('docs/api/errors.md')) {
    assert.equal(cells.length, 6, cells[0]);
    assert.notEqual(cells[5], '', cells[0]);
  }
});
