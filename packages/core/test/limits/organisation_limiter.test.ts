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
const HEARTBEAT_MS = 500;

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

/**
 * Exchanges one heartbeat between all limiters, as far as `isDelivered` allows,
 * and returns their shares of the rate.
 */
function exchangeHeartbeats(
  limiters: readonly OrganisationLimiter[],
  nowMs: number,
  isDelivered: (from: number, to: number) => boolean = () => true,
): readonly number[] {
  const heartbeats = limiters.map(limiter =>
    limiter.prepareHeartbeat(limiters.length, nowMs),
  );
  for (const [from, heartbeat] of heartbeats.entries()) {
    for (const [to, limiter] of limiters.entries()) {
      if (from !== to && isDelivered(from, to))
        limiter.mergeHeartbeat(heartbeat, nowMs);
    }
  }
  return heartbeats.map(heartbeat => heartbeat.uses[0].share);
}

/** Sends requests at one point in time; returns the number allowed. */
function sendRequests(
  limiter: OrganisationLimiter,
  count: number,
  nowMs: number,
) {
  let allowed = 0;
  for (let i = 0; i < count; i++) {
    if (limiter.tryAcquire('school', nowMs).isAllowed) allowed += 1;
  }
  return allowed;
}

test('shares follow demand and their sum stays within the limit without message loss', () => {
  const limiters = createLimiters(4);
  let shares: readonly number[] = [];
  for (let round = 0; round < 20; round++) {
    sendRequests(limiters[0], 70, round * HEARTBEAT_MS);
    sendRequests(limiters[1], 10, round * HEARTBEAT_MS);
    shares = exchangeHeartbeats(limiters, round * HEARTBEAT_MS);
    const sum = shares.reduce((total, share) => total + share, 0);
    assert.ok(sum <= 1.0001, `round ${round}: the shares sum to ${sum}`);
  }
  assert.ok(shares[0] > 0.75, `shares: ${shares}`);
});

test('an entry cut off from the others falls back to an equal share', () => {
  const limiters = createLimiters(4);
  for (let round = 0; round < 40; round++) {
    sendRequests(limiters[0], 70, round * HEARTBEAT_MS);
    const isPartitioned = round >= 20;
    const shares = exchangeHeartbeats(
      limiters,
      round * HEARTBEAT_MS,
      (from, to) => !isPartitioned || (from !== 0 && to !== 0),
    );
    const sum = shares.reduce((total, share) => total + share, 0);
    assert.ok(sum <= 1.0001, `round ${round}: the shares sum to ${sum}`);
    if (round > 30) assert.ok(shares[0] <= 0.2501, `share: ${shares[0]}`);
  }
});

test('lost heartbeats let the shares exceed the limit by less than a tenth on average', () => {
  const demands = fc.array(fc.array(fc.nat(60), {minLength: 4, maxLength: 4}), {
    minLength: 20,
    maxLength: 20,
  });
  fc.assert(
    fc.property(demands, fc.infiniteStream(fc.nat(9)), (rounds, losses) => {
      const limiters = createLimiters(4);
      let total = 0;
      for (const [round, demand] of rounds.entries()) {
        const nowMs = round * HEARTBEAT_MS;
        for (const [i, count] of demand.entries()) {
          sendRequests(limiters[i], count, nowMs);
        }
        const shares = exchangeHeartbeats(
          limiters,
          nowMs,
          () => losses.next().value > 1,
        );
        total += shares.reduce((sum, share) => sum + share, 0);
      }
      assert.ok(
        total / rounds.length < 1.1,
        `mean sum of the shares: ${total / rounds.length}`,
      );
    }),
  );
});

test('concurrency used by running requests is not given to another entry', () => {
  const limit = {...LIMIT, requestsPerS: 1e6, burst: 1e6, concurrent: 40};
  const limiters = createLimiters(4);
  for (const limiter of limiters) limiter.updateLimits([limit], 0);
  let running = 0;
  for (let round = 0; round < 60; round++) {
    const busyIndex = round < 30 ? 0 : 1;
    running += sendRequests(limiters[busyIndex], 20, round * HEARTBEAT_MS);
    assert.ok(running <= 40, `round ${round}: ${running} running`);
    exchangeHeartbeats(limiters, round * HEARTBEAT_MS);
  }
  assert.ok(running >= 38, `${running} running`);
});

test('a refusal has a retry delay, and a released request frees concurrency', () => {
  const limiter = OrganisationLimiter.create({
    member: 'a/1',
    random: createRandom(1),
  });
  limiter.updateLimits([{...LIMIT, concurrent: 2}], 0);
  assert.equal(sendRequests(limiter, 5, 0), 2);
  const refusal = limiter.tryAcquire('school', 0);
  assert.ok(!refusal.isAllowed && refusal.retryAfterMs >= 100);
  limiter.release('school');
  assert.equal(sendRequests(limiter, 5, 0), 1);
});
