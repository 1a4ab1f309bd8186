import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createRandom,
  RolloutPlan,
  sampleNormal,
  SessionVersions,
  VersionEvidence,
  type RolloutOrder,
} from '../../src/index.js';

const ORDER: RolloutOrder = {
  service: 'engine',
  target: 'v2',
  durationMs: 20_000,
  state: undefined,
  elapsedMs: undefined,
};
const BOUNDS = {exposureShare: 0.15};

test('a roll-out samples, shifts and is due before its deadline', () => {
  const plan = RolloutPlan.create(ORDER, 1000, BOUNDS);
  assert.equal(plan.phase(1000), 'sampling');
  assert.equal(plan.phase(11_500), 'sampling');
  assert.equal(plan.phase(18_000), 'shifting');
  assert.equal(plan.isSuccessDue(18_000), false);
  assert.equal(plan.isSuccessDue(20_500), true);
});

test('a bad version stays below its exposure until the shift', () => {
  const plan = RolloutPlan.create(ORDER, 0, BOUNDS);
  const sampled = Array.from({length: 10_000}, (_, index) =>
    plan.isSampled(`session-${index}`),
  ).filter(Boolean).length;
  assert.ok(sampled > 500 && sampled < 1500, `${sampled} of 10000`);
});

test('a restarted host takes the start from the store', () => {
  const order = {...ORDER, state: 'running', elapsedMs: 15_000} as const;
  const plan = RolloutPlan.create(order, 100_000, BOUNDS);
  assert.equal(plan.elapsedMs(101_000), 16_000);
  assert.equal(plan.phase(101_000), 'shifting');
});

test('a later word never moves the start forward', () => {
  const plan = RolloutPlan.create(ORDER, 0, BOUNDS);
  const told = plan.withOrder({...ORDER, elapsedMs: 10}, 10_000);
  assert.equal(told.elapsedMs(10_000), 10_000);
});

test('a failing version is found within some ten answers', () => {
  const evidence = VersionEvidence.create();
  for (let count = 0; count < 100; count += 1) {
    evidence.record({route: 'r', side: 'old', hasFailed: false, slowness: 0});
  }
  let answers = 0;
  while (evidence.findRegression() === undefined && answers < 100) {
    const hasFailed = answers % 2 === 0;
    evidence.record({route: 'r', side: 'new', hasFailed, slowness: undefined});
    answers += 1;
  }
  assert.ok(answers <= 12, `${answers} answers`);
});

test('a version of which half is several times slower is found', () => {
  const random = createRandom(6);
  const evidence = VersionEvidence.create();
  const sample = (): number => 0.7 * sampleNormal(random);
  for (let count = 0; count < 150; count += 1) {
    evidence.record({
      route: 'r',
      side: 'old',
      hasFailed: false,
      slowness: sample(),
    });
  }
  let answers = 0;
  while (evidence.findRegression() === undefined && answers < 200) {
    const extra = answers % 2 === 0 ? Math.log(8) : 0;
    const slowness = sample() + extra;
    evidence.record({route: 'r', side: 'new', hasFailed: false, slowness});
    answers += 1;
  }
  assert.equal(evidence.findRegression(), 'slowness');
  assert.ok(answers <= 60, `${answers} answers`);
});

test('a version as good as the old one is hardly ever called bad', () => {
  const random = createRandom(5);
  let calledBad = 0;
  for (let run = 0; run < 300; run += 1) {
    const evidence = VersionEvidence.create();
    for (let count = 0; count < 150; count += 1) {
      const slowness = 0.7 * sampleNormal(random);
      const hasFailed = random() < 0.14;
      evidence.record({route: 'r', side: 'old', hasFailed, slowness});
      if (count % 3 > 0) continue;
      evidence.record({
        route: 'r',
        side: 'new',
        hasFailed: random() < 0.14,
        slowness: 0.7 * sampleNormal(random),
      });
    }
    if (evidence.findRegression() !== undefined) calledBad += 1;
  }
  assert.ok(calledBad <= 2, `${calledBad} of 300`);
});

test('a session is remembered while it lasts', () => {
  const sessions = SessionVersions.create(5000);
  sessions.record('s', 'v1', 0);
  assert.equal(sessions.find('s', 5000), 'v1');
  assert.equal(sessions.find('s', 5001), undefined);
  assert.equal(sessions.find('t', 0), undefined);
});

function recordSlowness(
  random: () => number,
  newCount: number,
  slowShare: number,
): VersionEvidence {
  const evidence = VersionEvidence.create();
  const record = (side: 'old' | 'new', slowness: number) =>
    evidence.record({route: 'r', side, hasFailed: false, slowness});
  for (let count = 0; count < 110; count += 1) {
    record('old', 0.2 + 0.7 * sampleNormal(random));
  }
  for (let count = 0; count < newCount; count += 1) {
    const extra = random() < slowShare ? Math.log(3) : 0;
    record('new', 0.1 + 0.7 * sampleNormal(random) + extra);
  }
  return evidence;
}

test('few answers of a version of which half is slow make it look slow', () => {
  const random = createRandom(5);
  const seen = Array.from({length: 200}, () => recordSlowness(random, 28, 0.6));
  const suspected = seen.filter(evidence => evidence.looksSlow()).length;
  assert.ok(suspected > 100, `${suspected} of 200`);
});

test('few answers of a good version seldom make it look slow', () => {
  const random = createRandom(6);
  const seen = Array.from({length: 1000}, () => recordSlowness(random, 28, 0));
  const suspected = seen.filter(evidence => evidence.looksSlow()).length;
  assert.ok(suspected <= 10, `${suspected} of 1000`);
});
