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

/** The organisation whose limit is held. */
export const ORGANISATION = 'school';
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

/** Entries that hold one organisation, asking too much, to its limit. */
class LimitsRun {
  private readonly events = EventQueue.create();
  private readonly random: Random;
  private readonly central: OrganisationLimiter;
  private readonly members: readonly Member[];
  private readonly windows: readonly Window[];
  private listedCount = ENTRY_COUNT;
  private inFlight = 0;
  private maxInFlight = 0;

  private constructor(
    private readonly way: LimitWay,
    private readonly scenario: LimitScenario,
    private readonly demand: number,
    seed: number,
  ) {
    const {limit} = scenario;
    this.random = createRandom(seed);
    this.central = createLimiter(
      'central',
      'equal-share',
      limit,
      this.random,
      0,
      1,
    );
    this.members = Array.from({length: ENTRY_COUNT}, (_, index) => ({
      limiter: createMember(index, 1, way, limit, this.random, 0),
      isUp: true,
      incarnation: 1,
    }));
    this.windows = Array.from({length: DURATION_MS / WINDOW_MS}, () => ({
      asked: new Array<number>(ENTRY_COUNT).fill(0),
      admitted: new Array<number>(ENTRY_COUNT).fill(0),
    }));
  }

  static create(
    way: LimitWay,
    scenario: LimitScenario,
    demand: number,
    seed: number,
  ): LimitsRun {
    return new LimitsRun(way, scenario, demand, seed);
  }

  run(): LimitResult {
    const {events, scenario} = this;
    for (const index of this.members.keys()) {
      events.at((index * BEAT_MS) / ENTRY_COUNT, () => this.beat(index));
    }
    if (scenario.hasChurn) this.scheduleChurn();
    this.arrive();
    events.runUntil(DURATION_MS);
    return summarize(this.windows, scenario, this.maxInFlight);
  }

  private scheduleChurn(): void {
    const {events} = this;
    events.at(RESTART_MS, () => this.start(1));
    events.at(LEAVE_MS, () => {
      this.members[2].isUp = false;
    });
    events.at(LEAVE_MS + LIST_LAG_MS, () => {
      this.listedCount -= 1;
    });
    events.at(JOIN_MS, () => this.start(2));
    events.at(JOIN_MS + LIST_LAG_MS, () => {
      this.listedCount += 1;
    });
  }

  private start(index: number): void {
    const member = this.members[index];
    member.incarnation += 1;
    member.isUp = true;
    member.limiter = createMember(
      index,
      member.incarnation,
      this.way,
      this.scenario.limit,
      this.random,
      this.events.nowMs,
    );
  }

  private beat(index: number): void {
    const {events} = this;
    const {isUp, limiter} = this.members[index];
    if (isUp) {
      this.deliver(
        index,
        limiter.prepareHeartbeat(this.listedCount, events.nowMs),
      );
    }
    if (events.nowMs < DURATION_MS) {
      events.after(BEAT_MS, () => this.beat(index));
    }
  }

  private deliver(from: number, heartbeat: LimitHeartbeat): void {
    const {events} = this;
    for (const [to, member] of this.members.entries()) {
      if (to === from || !member.isUp) continue;
      if (this.isCut(from) || this.isCut(to)) continue;
      if (this.random() < BEAT_LOSS_SHARE) continue;
      events.after(BEAT_DELAY_MS, () =>
        member.limiter.mergeHeartbeat(heartbeat, events.nowMs),
      );
    }
  }

  private isCut(index: number): boolean {
    const {nowMs} = this.events;
    const isTime = nowMs >= CUT_FROM_MS && nowMs < CUT_TO_MS;
    return this.scenario.hasCut && index === 0 && isTime;
  }

  private arrive(): void {
    const {events, scenario} = this;
    const meanGapMs = 1000 / (scenario.limit.requestsPerS * this.demand);
    events.after(sampleExponential(this.random, meanGapMs), () => {
      if (events.nowMs >= DURATION_MS) return;
      this.ask(this.pickEntry());
      this.arrive();
    });
  }

  private pickEntry(): number {
    const {skewShare, shiftMs} = this.scenario;
    const favourite = Math.floor(this.events.nowMs / shiftMs) % ENTRY_COUNT;
    const isFavourite = this.random() < skewShare;
    if (isFavourite && this.members[favourite].isUp) return favourite;
    const up = this.members.flatMap(({isUp}, index) => (isUp ? [index] : []));
    return up[Math.floor(this.random() * up.length)];
  }

  private ask(index: number): void {
    const {events, way, central} = this;
    const limiter = way === 'central' ? central : this.members[index].limiter;
    const window = this.windows[Math.floor(events.nowMs / WINDOW_MS)];
    window.asked[index] += 1;
    const {isAllowed} = limiter.tryAcquire(ORGANISATION, events.nowMs);
    if (!isAllowed) return;
    window.admitted[index] += 1;
    this.inFlight += 1;
    this.maxInFlight = Math.max(this.maxInFlight, this.inFlight);
    events.after(this.scenario.answerMs, () => {
      this.inFlight -= 1;
      limiter.release(ORGANISATION);
    });
  }
}

/** Runs one organisation that asks for `demand` times its limit. */
export function runLimits(
  way: LimitWay,
  scenario: LimitScenario,
  demand: number,
  seed: number,
): LimitResult {
  return LimitsRun.create(way, scenario, demand, seed).run();
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
  limiter.prepareHeartbeat(memberCount, nowMs);
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
  scenario: LimitScenario,
  maxInFlight: number,
): LimitResult {
  const {limit} = scenario;
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
