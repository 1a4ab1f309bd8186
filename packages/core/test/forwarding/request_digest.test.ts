import assert from 'node:assert/strict';
import {test} from 'node:test';
import {digestRequest, type RequestIdentity} from '../../src/index.js';

const IDENTITY: RequestIdentity = {
  method: 'POST',
  hostName: 'api.example',
  path: '/read/7?at=noon',
  organisation: 'org-1',
  partIds: ['a', 'b'],
  body: Buffer.from('{"secret":1}'),
};

test('repeats of a request have one digest', () => {
  const repeat = {...IDENTITY, body: Buffer.from('{"secret":1}')};
  assert.equal(digestRequest(IDENTITY), digestRequest(repeat));
});

test('requests that differ in any part of their identity have different digests', () => {
  const others: readonly Partial<RequestIdentity>[] = [
    {method: 'GET'},
    {hostName: 'other.example'},
    {path: '/read/7'},
    {organisation: undefined},
    {partIds: ['a']},
    {partIds: ['ab']},
    {body: undefined},
    {body: Buffer.from('{"secret":2}')},
    {organisation: 'org-1","a', partIds: ['b']},
  ];
  const digests = others.map(other => digestRequest({...IDENTITY, ...other}));
  assert.equal(new Set([digestRequest(IDENTITY), ...digests]).size, 10);
});

test('a digest has a fixed length and shows nothing of the body', () => {
  const digest = digestRequest({...IDENTITY, body: Buffer.alloc(1_000_000)});
  assert.match(digest, /^[\w-]{22}$/);
});
