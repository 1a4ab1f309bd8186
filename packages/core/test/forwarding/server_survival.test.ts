import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  judgeSurvival,
  ServerEnds,
  type ServerSigns,
  type ServerSurvival,
} from '../../src/index.js';

const SIGNS: ServerSigns = {
  probe: 'kept',
  hasOpenConnection: false,
  otherEndCount: 0,
  isLeaving: false,
};

interface SurvivalCase {
  readonly title: string;
  readonly signs: Partial<ServerSigns>;
  readonly survival: ServerSurvival;
}

const CASES: readonly SurvivalCase[] = [
  {title: 'takes a new connection', signs: {}, survival: 'alive'},
  {
    title: 'takes a new connection and has cut other requests',
    signs: {otherEndCount: 3},
    survival: 'alive',
  },
  {
    title: 'closes a new connection at once and has no other one',
    signs: {probe: 'closed'},
    survival: 'crashed',
  },
  {
    title: 'closes new connections and keeps another one, being full',
    signs: {probe: 'closed', hasOpenConnection: true},
    survival: 'alive',
  },
  {
    title: 'refuses new connections',
    signs: {probe: 'refused'},
    survival: 'crashed',
  },
  {
    title: 'refuses new connections and serves on, as it leaves',
    signs: {probe: 'refused', hasOpenConnection: true, isLeaving: true},
    survival: 'alive',
  },
  {
    title: 'was leaving and is gone with its last response',
    signs: {probe: 'refused', isLeaving: true},
    survival: 'left',
  },
  {
    title: 'was leaving and is gone with several responses at one moment',
    signs: {probe: 'refused', isLeaving: true, otherEndCount: 1},
    survival: 'crashed',
  },
  {
    title: 'does not answer',
    signs: {probe: 'unanswered', hasOpenConnection: true},
    survival: 'unknown',
  },
];

for (const {title, signs, survival} of CASES) {
  test(`a server that ${title} counts as ${survival}`, () => {
    assert.equal(judgeSurvival({...SIGNS, ...signs}), survival);
  });
}

test('ends are of one moment within 20 ms of each other', () => {
  const ends = ServerEnds.create();
  ends.record(1000);
  ends.record(1030);
  assert.equal(ends.countAt(1020), 2);
  assert.equal(ends.countAt(1045), 1);
  assert.equal(ends.countAt(1060), 0);
});
