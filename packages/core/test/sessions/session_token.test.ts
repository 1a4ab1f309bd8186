import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  addPin,
  listPinnedVersions,
  signSession,
  verifySession,
  type Session,
  type SessionKey,
} from '../../src/index.js';

function createKey(id: string, fill: number): SessionKey {
  return {id, secret: new Uint8Array(32).fill(fill)};
}

const OLD_KEY = createKey('2026-11', 1);
const NEW_KEY = createKey('2026-12', 2);
const SESSION: Session = {
  sessionId: 's-1',
  organisation: 'colombo-one',
  pins: [{kind: 'scout-question', steps: ['quick@v1', 'deep@v4']}],
};

test('a token verifies on any host that shares the keys', () => {
  const token = signSession(SESSION, {keys: [OLD_KEY]});
  const session = verifySession(token, 'colombo-one', {
    keys: [NEW_KEY, OLD_KEY],
  });
  assert.deepEqual(session, SESSION);
});

test('a token expires when its key is retired', () => {
  const token = signSession(SESSION, {keys: [OLD_KEY]});
  assert.throws(() => verifySession(token, 'colombo-one', {keys: [NEW_KEY]}), {
    code: 'invalid_session',
  });
});

test('a token of another organisation is refused', () => {
  const token = signSession(SESSION, {keys: [OLD_KEY]});
  assert.throws(() => verifySession(token, 'kandy-two', {keys: [OLD_KEY]}), {
    code: 'invalid_session',
  });
});

test('a token signed with the same id and another secret is refused', () => {
  const token = signSession(SESSION, {keys: [createKey(OLD_KEY.id, 9)]});
  assert.throws(() => verifySession(token, 'colombo-one', {keys: [OLD_KEY]}), {
    code: 'invalid_session',
  });
});

test('a token changed in any character but the last is refused', () => {
  const token = signSession(SESSION, {keys: [OLD_KEY]});
  fc.assert(
    fc.property(
      fc.nat(token.length - 2),
      fc.constantFrom(...'abcXYZ019-_.'),
      (index, char) => {
        fc.pre(token[index] !== char);
        const changed = token.slice(0, index) + char + token.slice(index + 1);
        assert.throws(
          () => verifySession(changed, 'colombo-one', {keys: [OLD_KEY]}),
          {code: 'invalid_session'},
        );
      },
    ),
    {seed: 5},
  );
});

test('arbitrary text is refused with the code invalid_session', () => {
  fc.assert(
    fc.property(fc.string(), text => {
      assert.throws(
        () => verifySession(text, 'colombo-one', {keys: [OLD_KEY]}),
        {code: 'invalid_session'},
      );
    }),
    {seed: 6},
  );
});

test('a pin is never replaced and determines the version of each of its models', () => {
  const session = addPin(SESSION, {kind: 'scout-question', steps: ['x@v9']});
  assert.deepEqual(session, SESSION);
  const wider = addPin(SESSION, {kind: 'brief', steps: ['deep@v4']});
  assert.equal(listPinnedVersions(wider).get('deep'), 'v4');
  assert.equal(listPinnedVersions(wider).get('quick'), 'v1');
});
