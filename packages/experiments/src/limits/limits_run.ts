import {
  OrganisationLimiter,
  createRandom,
  sampleExponential,
  type LimitHeartbeat,
  type OrganisationLimit,
  type Random,
  type SharePolicyName,
} from '@anvilrudder/core';
import {EventQueue} from '../service/event_queue.js';

/** How the entries hold limits; `central` is one bucket that all ask. */
export type LimitWay = SharePolicyName | 'central';

/** Traffic and faults of a run. */
export interface LimitScenario {
  readonly name: string;
  /** Part of an organisation's requests that one entry gets. */
  readonly skewShare: number;
  /** Time after which another entry gets that part. */
  readonly shiftMs: number;
  /** True when entries restart, leave and join. */
  readonly hasChurn: boolean;
  /** True when one entry hears no heartbeats for a while. */
  readonly hasCut: boolean;
  readonly answerMs: number;
  readonly limit: OrganisationLimit;
}

/** Figures of a run. */
export interface LimitResult {
  /** Admitted over allowed, less one, over the whole run. */
  readonly overshoot: number;
  /** The same in the worst ten seconds. */
  readonly worstOvershoot: number;
  /** Requests in flight over the limit, less one, at the worst moment. */
  readonly concurrencyOvershoot: number;
  /** Part of what could have been admitted that was not. */
  readonly unused: number;
  /** Largest difference of the part admitted between entries. */
  readonly unfairness: number;
}

interface Member {
  limiter: OrganisationLimiter;
  isUp: boolean;
  incarnation: number;
}

interface Window {
  readonly asked: number[];
  readonly admitted: number[];
}

const ENTRY_COUNT = 4;
const DURATION_MS = 180_000;
const BEAT_MS = 500;
const BEAT_DELAY_MS = 20;
const BEAT_LOSS_SHARE = 0.05;
const WINDOW_MS = 10_000;
const RESTART_MS = 60_000;
const LEAVE_MS = 100_000;
const JOIN_MS = 130_000;
const LIST_LAG_MS = 5000;
const CUT_FROM_MS = 80_000;
const CUT_TO_MS = 110_000;

/** Runs one organisation that asks for `demand` times its limit. */
export function runLimits(
  way: LimitWay,
  scenario: LimitScenario,
  demand: number,
  seed: number,
): LimitResult {
  const events = EventQueue.create();
  const random = createRandom(seed);
  const {limit, hasChurn, hasCut} = scenario;
  const central = createLimiter('central', 'equal-share', limit, random, 0, 1);
  const members: Member[] = Array.from({length: ENTRY_COUNT}, (_, index) => ({
    limiter: createMember(index, 1, way, limit, random, 0),
    isUp: true,
    incarnation: 1,
  }));
  let listedCount = ENTRY_COUNT;
  let inFlight = 0;
  let maxInFlight = 0;
  const windows: Window[] = Array.from(
    {length: DURATION_MS / WINDOW_MS},
    () => ({
      asked: new Array<number>(ENTRY_COUNT).fill(0),
      admitted: new Array<number>(ENTRY_COUNT).fill(0),
    }),
  );

  const isCut = (index: number) =>
    hasCut &&
    index === 0 &&
    events.nowMs >= CUT_FROM_MS &&
    events.nowMs < CUT_TO_MS;
  const deliver = (from: number, heartbeat: LimitHeartbeat) => {
    for (const [to, member] of members.entries()) {
      if (to === from || !member.isUp) continue;
      if (isCut(from) || isCut(to) || random() < BEAT_LOSS_SHARE) continue;
      events.after(BEAT_DELAY_MS, () =>
        member.limiter.mergeHeartbeat(heartbeat, events.nowMs),
      );
    }
  };
  const beat = (index: number) => {
    const {isUp, limiter} = members[index];
    if (isUp) deliver(index, limiter.beat(listedCount, events.nowMs));
    if (events.nowMs < DURATION_MS) events.after(BEAT_MS, () => beat(index));
  };
  const start = (index: number) => {
    const member = members[index];
    member.incarnation += 1;
    member.isUp = true;
    member.limiter = createMember(
      index,
      member.incarnation,
      way,
      limit,
      random,
      events.nowMs,
    );
  };
  const pickEntry = () => {
    const favourite = Math.floor(events.nowMs / scenario.shiftMs) % ENTRY_COUNT;
    const isFavourite = random() < scenario.skewShare;
    if (isFavourite && members[favourite].isUp) return favourite;
    const up = members.flatMap(({isUp}, index) => (isUp ? [index] : []));
    return up[Math.floor(random() * up.length)];
  };
  const arrive = () => {
    const meanGapMs = 1000 / (limit.requestsPerS * demand);
    events.after(sampleExponential(random, meanGapMs), () => {
      if (events.nowMs >= DURATION_MS) return;
      const index = pickEntry();
      const member = members[index];
      const limiter = way === 'central' ? central : member.limiter;
      const window = windows[Math.floor(events.nowMs / WINDOW_MS)];
      window.asked[index] += 1;
      const {isAllowed} = limiter.tryAcquire('school', events.nowMs);
      if (isAllowed) {
        window.admitted[index] += 1;
        inFlight += 1;
        maxInFlight = Math.max(maxInFlight, inFlight);
        events.after(scenario.answerMs, () => {
          inFlight -= 1;
          limiter.release('school');
        });
      }
      arrive();
    });
  };

  for (const index of members.keys()) {
    events.at((index * BEAT_MS) / ENTRY_COUNT, () => beat(index));
  }
  if (hasChurn) {
    events.at(RESTART_MS, () => start(1));
    events.at(LEAVE_MS, () => {
      members[2].isUp = false;
    });
    events.at(LEAVE_MS + LIST_LAG_MS, () => {
      listedCount -= 1;
    });
    events.at(JOIN_MS, () => start(2));
    events.at(JOIN_MS + LIST_LAG_MS, () => {
      listedCount += 1;
    });
  }
  arrive();
  events.runUntil(DURATION_MS);
  return summarize(windows, limit, maxInFlight, scenario);
}

function createLimiter(
  member: string,
  policy: SharePolicyName,
  limit: OrganisationLimit,
  random: Random,
  nowMs: number,
  memberCount: number,
): OrganisationLimiter {
  const limiter = OrganisationLimiter.create({member, policy, random});
  limiter.beat(memberCount, nowMs);
  limiter.updateLimits([limit], nowMs);
  return limiter;
}

function createMember(
  index: number,
  incarnation: number,
  way: LimitWay,
  limit: OrganisationLimit,
  random: Random,
  nowMs: number,
): OrganisationLimiter {
  const policy = way === 'central' ? 'equal-share' : way;
  const member = `entry-${index}/${incarnation}`;
  return createLimiter(member, policy, limit, random, nowMs, ENTRY_COUNT);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function summarize(
  windows: readonly Window[],
  limit: OrganisationLimit,
  maxInFlight: number,
  scenario: LimitScenario,
): LimitResult {
  const perWindow = (limit.requestsPerS * WINDOW_MS) / 1000;
  const byConcurrency = (limit.concurrent * WINDOW_MS) / scenario.answerMs;
  const allowed = Math.min(perWindow, byConcurrency);
  const admitted = windows.map(window => sum(window.admitted));
  const possible = windows.map(window => Math.min(allowed, sum(window.asked)));
  const spreads = windows.map(({asked, admitted: taken}) => {
    const parts = asked
      .map((count, index) => (count >= 20 ? taken[index] / count : undefined))
      .filter(part => part !== undefined);
    return parts.length === 0 ? 0 : Math.max(...parts) - Math.min(...parts);
  });
  const overshoots = admitted.map(
    count => Math.max(0, count - limit.burst) / allowed - 1,
  );
  return {
    overshoot: Math.max(
      0,
      (sum(admitted) - limit.burst) / (allowed * windows.length) - 1,
    ),
    worstOvershoot: Math.max(0, ...overshoots),
    concurrencyOvershoot: Math.max(0, maxInFlight / limit.concurrent - 1),
    unused: Math.max(0, 1 - sum(admitted) / sum(possible)),
    unfairness: sum(spreads) / spreads.length,
  };
}
