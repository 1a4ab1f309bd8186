import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createRandom, sampleNormal, VersionEvidence} from '../../src/index.js';

const OLD_ANSWERS = 800;
const NEW_ANSWERS = 100;
/** Slowness of both versions falls from the first to the last answer. */
const SLOWNESS_FALL = {from: 1.1, to: 0.1} as const;

/**
 * Plays a rollout in which both versions become faster, and the new version is
 * sampled more often towards its end.
 */
function playFallingSlowness(seed: number, addedSlowness: number) {
  const random = createRandom(seed);
  const evidence = VersionEvidence.create();
  for (let count = 0; count < OLD_ANSWERS; count += 1) {
    const progress = count / OLD_ANSWERS;
    const {from, to} = SLOWNESS_FALL;
    const slowness = from + progress * (to - from) + 0.6 * sampleNormal(random);
    const sample = {route: 'r', hasFailed: false} as const;
    evidence.record({...sample, side: 'old', slowness});
    const newShare = (2 * progress * NEW_ANSWERS) / OLD_ANSWERS;
    if (random() >= newShare) continue;
    const added = addedSlowness + 0.6 * sampleNormal(random);
    evidence.record({
      ...sample,
      side: 'new',
      slowness: from + progress * (to - from) + added,
    });
  }
  return evidence;
}

const SEEDS = Array.from({length: 50}, (_, index) => index + 1);

test('a slow version looks slow although both versions become faster during the rollout', () => {
  const missed = SEEDS.filter(
    seed => !playFallingSlowness(seed, 0.6).looksSlow(),
  );
  assert.deepEqual(missed, []);
});

test('a good version does not look slow when both versions become faster', () => {
  const flagged = SEEDS.filter(seed =>
    playFallingSlowness(seed, 0).looksSlow(),
  );
  assert.deepEqual(flagged, []);
});
