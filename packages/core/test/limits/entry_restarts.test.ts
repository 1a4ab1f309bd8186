import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createRandom,
  OrganisationLimiter,
  type LimitHeartbeat,
} from '../../src/index.js';

const HEARTBEAT_MS = 500;
const DELIVERY_MS = 20;
const END_MS = 12_000;
const REQUEST_INTERVAL_MS = 5;
/** Requests in flight at each entry, far below the limit of all entries. */
const IN_FLIGHT = 2;
/** Part of the limits for each entry; an entry sends 400 requests a second. */
const LIMIT_PER_ENTRY = {requestsPerS: 1000, burst: 1000, concurrent: 200};

interface Entry {
  limiter: OrganisationLimiter;
  incarnation: number;
  readonly ends: number[];
}

interface Delivery {
  readonly atMs: number;
  readonly heartbeat: LimitHeartbeat;
}

function createLimiter(
  host: number,
  incarnation: number,
  entryCount: number,
  nowMs: number,
): OrganisationLimiter {
  const limiter = OrganisationLimiter.create({
    member: `host-${host}/${incarnation}`,
    random: createRandom(host),
  });
  const {requestsPerS, burst, concurrent} = LIMIT_PER_ENTRY;
  const limit = {
    organisation: 'school',
    requestsPerS: requestsPerS * entryCount,
    burst: burst * entryCount,
    concurrent: concurrent * entryCount,
  };
  limiter.updateLimits([limit], nowMs);
  limiter.prepareHeartbeat(entryCount, nowMs);
  return limiter;
}

/**
 * Plays entries whose heartbeats are spread over the interval, and restarts one
 * of them at each of the given times, in turn.
 *
 * @returns the number of refused requests.
 */
function playRestarts(
  entryCount: number,
  restartTimesMs: readonly number[],
): number {
  const entries: Entry[] = Array.from({length: entryCount}, (_, host) => ({
    limiter: createLimiter(host, 1, entryCount, 0),
    incarnation: 1,
    ends: [],
  }));
  const deliveries: Delivery[] = [];
  const restarts = [...restartTimesMs];
  let refused = 0;
  for (let nowMs = 0; nowMs < END_MS; nowMs += REQUEST_INTERVAL_MS) {
    if (restarts.length > 0 && nowMs >= restarts[0]) {
      restarts.shift();
      const host = restarts.length % entryCount;
      const entry = entries[host];
      entry.incarnation += 1;
      entry.limiter = createLimiter(host, entry.incarnation, entryCount, nowMs);
      entry.ends.length = 0;
    }
    for (const {atMs, heartbeat} of deliveries.splice(0)) {
      if (atMs > nowMs) deliveries.push({atMs, heartbeat});
      else
        entries.forEach(each => each.limiter.mergeHeartbeat(heartbeat, nowMs));
    }
    for (const [host, {limiter, ends}] of entries.entries()) {
      const phaseMs =
        Math.floor((host * HEARTBEAT_MS) / entryCount / REQUEST_INTERVAL_MS) *
        REQUEST_INTERVAL_MS;
      if (nowMs % HEARTBEAT_MS === phaseMs) {
        const heartbeat = limiter.prepareHeartbeat(entryCount, nowMs);
        deliveries.push({atMs: nowMs + DELIVERY_MS, heartbeat});
      }
      while (ends.length > 0 && ends[0] <= nowMs) {
        ends.shift();
        limiter.release('school');
      }
      while (ends.length < IN_FLIGHT) {
        if (limiter.tryAcquire('school', nowMs).isAllowed) {
          ends.push(nowMs + 2 * REQUEST_INTERVAL_MS);
          continue;
        }
        refused += 1;
        break;
      }
    }
  }
  return refused;
}

for (const entryCount of [4, 24, 60]) {
  test(`no request far below the limit is refused when one of ${entryCount} entries restarts`, () => {
    for (const restartMs of [1500, 2500, 2630, 2900]) {
      assert.equal(playRestarts(entryCount, [restartMs]), 0, `${restartMs} ms`);
    }
  });

  test(`no request far below the limit is refused while ${entryCount} entries restart in turn`, () => {
    const times = Array.from({length: 8}, (_, index) => 2000 + 900 * index);
    assert.equal(playRestarts(entryCount, times), 0);
  });
}

test('a late heartbeat of an earlier run does not take the share of the next one', () => {
  const limiter = createLimiter(0, 1, 2, 0);
  const earlier = createLimiter(1, 1, 2, 0).prepareHeartbeat(2, 0);
  const later = createLimiter(1, 2, 2, 0).prepareHeartbeat(2, 0);
  limiter.mergeHeartbeat(earlier, 0);
  limiter.mergeHeartbeat(later, 10);
  limiter.mergeHeartbeat(earlier, 20);
  const {uses} = limiter.prepareHeartbeat(2, 30);
  assert.ok(uses[0].share > 0.4, `share: ${uses[0].share}`);
});
