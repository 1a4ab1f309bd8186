import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  EvidenceTable,
  RolloutMonitor,
  clamp,
  createRandom,
  planRatingShares,
  sampleNormal,
} from '../../src/index.js';

const CANDIDATE = {model: 'quick', version: 'v4'};
const BASELINE = {model: 'quick', version: 'v3'};
const STEP_MS = 10_000;

interface Profile {
  readonly quality: number;
  readonly errorRate: number;
  /** Difference of the check score at equal quality; 0. */
  readonly checkBias?: number;
}

function runRollout(
  seed: number,
  steps: number,
  resolve: (i: number) => Profile,
  observeShare: (share: number) => void = () => {},
) {
  const random = createRandom(seed);
  const ledger = EvidenceTable.create({host: 'a', incarnation: '1'});
  const monitor = RolloutMonitor.create(
    {candidate: CANDIDATE, baseline: BASELINE},
    0,
  );
  const record = (version: typeof CANDIDATE, profile: Profile) => {
    const score = profile.quality + 0.1 * sampleNormal(random);
    ledger.record(version, {
      requests: 1,
      errors: random() < profile.errorRate ? 1 : 0,
      score: clamp(score, 0, 1),
      checkScore: clamp(score + (profile.checkBias ?? 0), 0, 1),
    });
  };
  for (let i = 0; i < steps; i++) {
    record(BASELINE, {quality: 0.8, errorRate: 0.005});
    record(CANDIDATE, resolve(i));
    const decision = monitor.decide(ledger, i * STEP_MS);
    observeShare(decision.share);
    if (decision.action === 'stop') {
      return {monitor, ledger, stoppedAt: i, reason: decision.reason};
    }
  }
  return {monitor, ledger, stoppedAt: undefined, reason: undefined};
}

test('an equal version goes up to its full share and is rarely stopped', () => {
  let stops = 0;
  for (let seed = 1; seed <= 100; seed++) {
    const run = runRollout(seed, 500, () => ({quality: 0.8, errorRate: 0.005}));
    if (run.stoppedAt !== undefined) stops += 1;
    else assert.equal(run.monitor.share, 1, `seed ${seed}`);
  }
  assert.ok(stops <= 3, `${stops} of 100 stopped`);
});

test('a worse version is stopped for its quality', () => {
  for (let seed = 1; seed <= 20; seed++) {
    const run = runRollout(seed, 500, () => ({quality: 0.6, errorRate: 0.005}));
    assert.equal(run.reason, 'quality', `seed ${seed}`);
  }
});

test('a failing version is stopped for its errors', () => {
  for (let seed = 1; seed <= 20; seed++) {
    const run = runRollout(seed, 500, () => ({quality: 0.8, errorRate: 0.3}));
    assert.equal(run.reason, 'errors', `seed ${seed}`);
  }
});

test('a version that turns bad after a long good time is stopped soon', () => {
  const turn = 3000;
  for (let seed = 1; seed <= 10; seed++) {
    const run = runRollout(seed, turn + 500, i => ({
      quality: i < turn ? 0.8 : 0.6,
      errorRate: 0.005,
    }));
    const delay = (run.stoppedAt ?? Infinity) - turn;
    assert.ok(delay > 0 && delay < 120, `seed ${seed}: ${delay}`);
  }
});

test('low check scores hold a version until ratings clear it', () => {
  const shares = new Set<number>();
  for (let seed = 1; seed <= 20; seed++) {
    const run = runRollout(
      seed,
      500,
      () => ({
        quality: 0.8,
        errorRate: 0.005,
        checkBias: -0.2,
      }),
      share => shares.add(share),
    );
    assert.equal(run.stoppedAt, undefined, `seed ${seed}`);
    assert.equal(run.monitor.share, 1, `seed ${seed}`);
  }
  assert.ok(shares.has(0.01));
});

test('an allowed version is judged by new evidence only', () => {
  const run = runRollout(1, 500, () => ({quality: 0.5, errorRate: 0}));
  assert.equal(run.monitor.share, 0);
  run.monitor.restart(run.ledger, 0);
  assert.equal(run.monitor.decide(run.ledger, 1).action, 'continue');
});

test('ratings go to the version in roll-out first, within the budget', () => {
  const input = {
    budgetPerS: 1,
    candidateRequestsPerS: 1,
    otherRequestsPerS: 19,
  };
  const shares = planRatingShares(input);
  assert.equal(shares.candidate, 0.5);
  assert.ok(shares.candidate + shares.other * 19 <= 1.0001);
});

test('a version at full share gets the whole budget of ratings', () => {
  const input = {
    budgetPerS: 1,
    candidateRequestsPerS: 20,
    otherRequestsPerS: 0,
  };
  assert.equal(planRatingShares(input).candidate, 0.05);
});
