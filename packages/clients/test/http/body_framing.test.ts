import assert from 'node:assert/strict';
import {test} from 'node:test';
import {readBodyFraming} from '../../src/http/body_framing.js';

test('the headers of a response tell what ends its body', () => {
  assert.equal(readBodyFraming('GET', 200, {'content-length': '3'}), 'length');
  const chunked = {'transfer-encoding': 'chunked'};
  assert.equal(readBodyFraming('GET', 200, chunked), 'chunks');
  assert.equal(readBodyFraming('GET', 200, {}), 'connection');
});

test('a response that can have no body ends with its head', () => {
  assert.equal(readBodyFraming('HEAD', 200, {}), 'length');
  assert.equal(readBodyFraming('GET', 204, {}), 'length');
  assert.equal(readBodyFraming('GET', 304, {}), 'length');
});
