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

/**
 * How the entries share a limit. With `central`, all entries use one common token
 * bucket.
 */
export type LimitPolicy = SharePolicyName | 'central';

/** Traffic and faults of a simulation. */
export interface LimitScenario {
  readonly name: string;
  /** Share of an organisation's requests that go to one entry, the hot entry. */
  readonly hotEntryShare: number;
  /** Time after which the next entry becomes the hot entry. */
  readonly hotEntryPeriodMs: number;
  /** Whether entries restart, leave and join. */
  readonly hasChurn: boolean;
  /** Whether one entry is cut off from the heartbeats of the others for 30 s. */
  readonly hasPartition: boolean;
  readonly answerMs: number;
  readonly limit: OrganisationLimit;
}

/** Measurements of a simulation. */
export interface LimitResult {
  /** Ratio of admitted to allowed requests minus 1, over the whole run. */
  readonly overshoot: number;
  /** The same for the 10 s window with the highest ratio. */
  readonly worstOvershoot: number;
  /** Ratio of the peak of concurrent requests to the limit, minus 1. */
  readonly concurrencyOvershoot: number;
  /** Share of the admissible requests that were not admitted. */
  readonly unused: number;
  /**
   * Largest difference between two entries in the share of requests admitted,
   * averaged over the 10 s windows.
   */
  readonly unfairness: number;
}

interface Member {
  limiter: OrganisationLimiter;
  isUp: boolean;
  incarnation: number;
}

interface Window {
  readonly offered: number[];
  readonly admitted: number[];
}

/** The organisation whose limit is enforced. */
export const ORGANISATION = 'school';
const ENTRY_COUNT = 4;
const DURATION_MS = 180_000;
const HEARTBEAT_PERIOD_MS = 500;
const HEARTBEAT_DELAY_MS = 20;
const HEARTBEAT_LOSS_SHARE = 0.05;
const WINDOW_MS = 10_000;
const RESTART_MS = 60_000;
const LEAVE_MS = 100_000;
const JOIN_MS = 130_000;
const LISTING_DELAY_MS = 5000;
const PARTITION_START_MS = 80_000;
const PARTITION_END_MS = 110_000;

/** Simulates entries that enforce the limit of one organisation. */
class LimitsRun {
  private readonly events = EventQueue.create();
  private readonly random: Random;
  private readonly centralLimiter: OrganisationLimiter;
  private readonly members: readonly Member[];
  private readonly windows: readonly Window[];
  private listedCount = ENTRY_COUNT;
  private inFlight = 0;
  private maxInFlight = 0;

  private constructor(
    private readonly policy: LimitPolicy,
    private readonly scenario: LimitScenario,
    private readonly demandRatio: number,
    seed: number,
  ) {
    const {limit} = scenario;
    this.random = createRandom(seed);
    this.centralLimiter = createLimiter(
      'central',
      'equal-share',
      limit,
      this.random,
      0,
      1,
    );
    this.members = Array.from({length: ENTRY_COUNT}, (_, index) => ({
      limiter: createMember(index, 1, policy, limit, this.random, 0),
      isUp: true,
      incarnation: 1,
    }));
    this.windows = Array.from({length: DURATION_MS / WINDOW_MS}, () => ({
      offered: new Array<number>(ENTRY_COUNT).fill(0),
      admitted: new Array<number>(ENTRY_COUNT).fill(0),
    }));
  }

  static create(
    policy: LimitPolicy,
    scenario: LimitScenario,
    demandRatio: number,
    seed: number,
  ): LimitsRun {
    return new LimitsRun(policy, scenario, demandRatio, seed);
  }

  run(): LimitResult {
    const {events, scenario} = this;
    for (const index of this.members.keys()) {
      events.at((index * HEARTBEAT_PERIOD_MS) / ENTRY_COUNT, () =>
        this.sendHeartbeat(index),
      );
    }
    if (scenario.hasChurn) this.scheduleChurn();
    this.scheduleArrival();
    events.runUntil(DURATION_MS);
    return summarize(this.windows, scenario, this.maxInFlight);
  }

  private scheduleChurn(): void {
    const {events} = this;
    events.at(RESTART_MS, () => this.startMember(1));
    events.at(LEAVE_MS, () => {
      this.members[2].isUp = false;
    });
    events.at(LEAVE_MS + LISTING_DELAY_MS, () => {
      this.listedCount -= 1;
    });
    events.at(JOIN_MS, () => this.startMember(2));
    events.at(JOIN_MS + LISTING_DELAY_MS, () => {
      this.listedCount += 1;
    });
  }

  private startMember(index: number): void {
    const member = this.members[index];
    member.incarnation += 1;
    member.isUp = true;
    member.limiter = createMember(
      index,
      member.incarnation,
      this.policy,
      this.scenario.limit,
      this.random,
      this.events.nowMs,
    );
  }

  private sendHeartbeat(index: number): void {
    const {events} = this;
    const {isUp, limiter} = this.members[index];
    if (isUp) {
      this.deliver(
        index,
        limiter.prepareHeartbeat(this.listedCount, events.nowMs),
      );
    }
    if (events.nowMs < DURATION_MS) {
      events.after(HEARTBEAT_PERIOD_MS, () => this.sendHeartbeat(index));
    }
  }

  private deliver(from: number, heartbeat: LimitHeartbeat): void {
    const {events} = this;
    for (const [to, member] of this.members.entries()) {
      if (to === from || !member.isUp) continue;
      if (this.isPartitioned(from) || this.isPartitioned(to)) continue;
      if (this.random() < HEARTBEAT_LOSS_SHARE) continue;
      events.after(HEARTBEAT_DELAY_MS, () =>
        member.limiter.mergeHeartbeat(heartbeat, events.nowMs),
      );
    }
  }

  private isPartitioned(index: number): boolean {
    const {nowMs} = this.events;
    const isDuringPartition =
      nowMs >= PARTITION_START_MS && nowMs < PARTITION_END_MS;
    return this.scenario.hasPartition && index === 0 && isDuringPartition;
  }

  private scheduleArrival(): void {
    const {events, scenario} = this;
    const meanIntervalMs =
      1000 / (scenario.limit.requestsPerS * this.demandRatio);
    events.after(sampleExponential(this.random, meanIntervalMs), () => {
      if (events.nowMs >= DURATION_MS) return;
      this.sendRequest(this.pickEntry());
      this.scheduleArrival();
    });
  }

  private pickEntry(): number {
    const {hotEntryShare, hotEntryPeriodMs} = this.scenario;
    const hotEntry =
      Math.floor(this.events.nowMs / hotEntryPeriodMs) % ENTRY_COUNT;
    const isForHotEntry = this.random() < hotEntryShare;
    if (isForHotEntry && this.members[hotEntry].isUp) return hotEntry;
    const runningIndexes = this.members.flatMap(({isUp}, index) =>
      isUp ? [index] : [],
    );
    return runningIndexes[Math.floor(this.random() * runningIndexes.length)];
  }

  private sendRequest(index: number): void {
    const {events, policy, centralLimiter} = this;
    const limiter =
      policy === 'central' ? centralLimiter : this.members[index].limiter;
    const window = this.windows[Math.floor(events.nowMs / WINDOW_MS)];
    window.offered[index] += 1;
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

/**
 * Simulates one organisation that sends requests at `demandRatio` times its rate
 * limit.
 */
export function runLimits(
  policy: LimitPolicy,
  scenario: LimitScenario,
  demandRatio: number,
  seed: number,
): LimitResult {
  return LimitsRun.create(policy, scenario, demandRatio, seed).run();
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
  policy: LimitPolicy,
  limit: OrganisationLimit,
  random: Random,
  nowMs: number,
): OrganisationLimiter {
  const sharePolicy = policy === 'central' ? 'equal-share' : policy;
  const member = `entry-${index}/${incarnation}`;
  return createLimiter(member, sharePolicy, limit, random, nowMs, ENTRY_COUNT);
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
  const allowedByRate = (limit.requestsPerS * WINDOW_MS) / 1000;
  const allowedByConcurrency =
    (limit.concurrent * WINDOW_MS) / scenario.answerMs;
  const allowedPerWindow = Math.min(allowedByRate, allowedByConcurrency);
  const admitted = windows.map(window => sum(window.admitted));
  const admissible = windows.map(window =>
    Math.min(allowedPerWindow, sum(window.offered)),
  );
  const spreads = windows.map(({offered, admitted: taken}) => {
    const admittedShares = offered
      .map((count, index) => (count >= 20 ? taken[index] / count : undefined))
      .filter(share => share !== undefined);
    return admittedShares.length === 0
      ? 0
      : Math.max(...admittedShares) - Math.min(...admittedShares);
  });
  const overshoots = admitted.map(
    count => Math.max(0, count - limit.burst) / allowedPerWindow - 1,
  );
  return {
    overshoot: Math.max(
      0,
      (sum(admitted) - limit.burst) / (allowedPerWindow * windows.length) - 1,
    ),
    worstOvershoot: Math.max(0, ...overshoots),
    concurrencyOvershoot: Math.max(0, maxInFlight / limit.concurrent - 1),
    unused: Math.max(0, 1 - sum(admitted) / sum(admissible)),
    unfairness: sum(spreads) / spreads.length,
  };
}
