import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as fc from 'fast-check';
import {OrganisationLimiter, createRandom} from '../../src/index.js';

const LIMIT = {
  organisation: 'school',
  requestsPerS: 100,
  burst: 40,
  concurrent: 1_000_000,
};
const BEAT_MS = 500;

function createLimiters(count: number): readonly OrganisationLimiter[] {
  return Array.from({length: count}, (_, index) => {
    const limiter = OrganisationLimiter.create({
      member: `entry-${index}/1`,
      random: createRandom(index),
    });
    limiter.updateLimits([LIMIT], 0);
    return limiter;
  });
}

/** Beats once; returns the shares. */
function beatAll(
  limiters: readonly OrganisationLimiter[],
  nowMs: number,
  isHeard: (from: number, to: number) => boolean = () => true,
): readonly number[] {
  const beats = limiters.map(limiter =>
    limiter.prepareHeartbeat(limiters.length, nowMs),
  );
  for (const [from, beat] of beats.entries()) {
    for (const [to, limiter] of limiters.entries()) {
      if (from !== to && isHeard(from, to)) limiter.mergeHeartbeat(beat, nowMs);
    }
  }
  return beats.map(beat => beat.uses[0].share);
}

function ask(limiter: OrganisationLimiter, count: number, nowMs: number) {
  let allowed = 0;
  for (let i = 0; i < count; i++) {
    if (limiter.tryAcquire('school', nowMs).isAllowed) allowed += 1;
  }
  return allowed;
}

test('shares follow demand and never sum to more than the limit once all are heard', () => {
  const limiters = createLimiters(4);
  let shares: readonly number[] = [];
  for (let beat = 0; beat < 20; beat++) {
    ask(limiters[0], 70, beat * BEAT_MS);
    ask(limiters[1], 10, beat * BEAT_MS);
    shares = beatAll(limiters, beat * BEAT_MS);
    const sum = shares.reduce((total, share) => total + share, 0);
    assert.ok(sum <= 1.0001, `beat ${beat}: ${sum}`);
  }
  assert.ok(shares[0] > 0.75, `${shares}`);
});

test('an entry that hears nobody falls back to an equal part', () => {
  const limiters = createLimiters(4);
  for (let beat = 0; beat < 40; beat++) {
    ask(limiters[0], 70, beat * BEAT_MS);
    const isCut = beat >= 20;
    const shares = beatAll(
      limiters,
      beat * BEAT_MS,
      (from, to) => !isCut || (from !== 0 && to !== 0),
    );
    const sum = shares.reduce((total, share) => total + share, 0);
    assert.ok(sum <= 1.0001, `beat ${beat}: ${sum}`);
    if (beat > 30) assert.ok(shares[0] <= 0.2501, `${shares[0]}`);
  }
});

test('lost heartbeats never let the shares pass the limit by more than a tenth', () => {
  const demands = fc.array(fc.array(fc.nat(60), {minLength: 4, maxLength: 4}), {
    minLength: 20,
    maxLength: 20,
  });
  fc.assert(
    fc.property(demands, fc.infiniteStream(fc.nat(9)), (rounds, losses) => {
      const limiters = createLimiters(4);
      let total = 0;
      for (const [beat, demand] of rounds.entries()) {
        const nowMs = beat * BEAT_MS;
        for (const [i, count] of demand.entries()) {
          ask(limiters[i], count, nowMs);
        }
        const shares = beatAll(limiters, nowMs, () => losses.next().value > 1);
        total += shares.reduce((sum, share) => sum + share, 0);
      }
      assert.ok(total / rounds.length < 1.1, `${total / rounds.length}`);
    }),
  );
});

test('requests that still run are not lent to another entry', () => {
  const limit = {...LIMIT, requestsPerS: 1e6, burst: 1e6, concurrent: 40};
  const limiters = createLimiters(4);
  for (const limiter of limiters) limiter.updateLimits([limit], 0);
  let running = 0;
  for (let beat = 0; beat < 60; beat++) {
    const favourite = beat < 30 ? 0 : 1;
    running += ask(limiters[favourite], 20, beat * BEAT_MS);
    assert.ok(running <= 40, `beat ${beat}: ${running}`);
    beatAll(limiters, beat * BEAT_MS);
  }
  assert.ok(running >= 38, `${running}`);
});

test('a refusal tells when to come back, and concurrency is given back', () => {
  const limiter = OrganisationLimiter.create({
    member: 'a/1',
    random: createRandom(1),
  });
  limiter.updateLimits([{...LIMIT, concurrent: 2}], 0);
  assert.equal(ask(limiter, 5, 0), 2);
  const refusal = limiter.tryAcquire('school', 0);
  assert.ok(!refusal.isAllowed && refusal.retryAfterMs >= 100);
  limiter.release('school');
  assert.equal(ask(limiter, 5, 0), 1);
});
