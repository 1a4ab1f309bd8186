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
  cutCount: 0,
  closedCount: 0,
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
    title: 'takes a new connection while its other requests are cut',
    signs: {cutCount: 1},
    survival: 'crashed',
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
    title: 'refuses new connections, and several of its responses have ended',
    signs: {probe: 'refused', closedCount: 1},
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
    signs: {probe: 'refused', isLeaving: true, closedCount: 1},
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
  ends.record('cut', 1000);
  ends.record('cut', 1030);
  ends.record('closed', 1030);
  assert.equal(ends.count('cut', 1020), 2);
  assert.equal(ends.count('cut', 1045), 1);
  assert.equal(ends.count('closed', 1000), 0);
});
