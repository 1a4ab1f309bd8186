import {
  EvidenceTable,
  RolloutMonitor,
  RulingTable,
  clamp,
  createRandom,
  decodeEvidence,
  encodeEvidence,
  hashToUnitInterval,
  planRatingShares,
  sampleExponential,
  sampleNormal,
  type ModelVersion,
  type Random,
  type RampPolicyName,
  type RatingShares,
  type RolloutSettings,
  type StopPolicyName,
} from '@anvilrudder/core';

/** A way of rolling out and stopping. */
export interface RolloutWay {
  readonly name: string;
  readonly stop: StopPolicyName;
  readonly ramp: RampPolicyName;
  readonly settings: Partial<RolloutSettings>;
  /** True when ratings go to the version in roll-out first. */
  readonly focusesRatings: boolean;
}

/** How answers of a version turn out. */
export interface VersionBehaviour {
  readonly quality: number;
  readonly errorRate: number;
  /** Difference of the check score at equal quality. */
  readonly checkBias?: number;
}

/** How the candidate behaves over time. */
export interface RolloutScenario {
  readonly name: string;
  readonly durationMs: number;
  readonly badFromMs: number;
  readonly bad: VersionBehaviour;
  /** Part of the exchanges between entries that is lost. */
  readonly lossShare: number;
}

/** What one roll-out cost. */
export interface RolloutResult {
  /** Requests that the bad version served, over all entries. */
  readonly exposedRequests: number;
  readonly isStopped: boolean;
  /** Time from the turn, or from the start, to the last entry's stop. */
  readonly stopDelayMs: number;
  readonly fullShareMs: number;
  /** Time from the first entry's stop until the last. */
  readonly spreadMs: number;
  readonly bytesPerMemberPerS: number;
}

interface Entry {
  readonly ledger: EvidenceTable;
  readonly monitor: RolloutMonitor;
  readonly rulings: RulingTable;
  readonly sentRevisions: Map<number, number>;
}

interface PendingRating {
  readonly entryIndex: number;
  readonly version: ModelVersion;
  readonly score: number;
}

const CANDIDATE: ModelVersion = {model: 'quick', version: 'v4'};
const BASELINE: ModelVersion = {model: 'quick', version: 'v3'};
const GOOD: VersionBehaviour = {quality: 0.78, errorRate: 0.005};
const ENTRY_COUNT = 4;
const REQUESTS_PER_S = 20;
const RATING_BUDGET_PER_S = 1;
const RATING_LOSS_SHARE = 0.2;
const RATING_DELAY_MEAN_S = 60;
const ANSWER_DEVIATION = 0.14;
const CHECK_NOISE = 0.12;
const RATING_NOISE = 0.08;
const TICK_MS = 1000;
const RESTART_AT_MS = 900_000;

function createEntry(
  index: number,
  incarnation: number,
  way: RolloutWay,
  nowMs: number,
): Entry {
  const {stop, ramp, settings} = way;
  return {
    ledger: EvidenceTable.create({
      host: `entry-${index}`,
      incarnation: String(incarnation),
    }),
    monitor: RolloutMonitor.create(
      {candidate: CANDIDATE, baseline: BASELINE, stop, ramp, settings},
      nowMs,
    ),
    rulings: RulingTable.create(),
    sentRevisions: new Map(),
  };
}

/** Four entries that serve, rate and exchange evidence each second. */
class RolloutRun {
  private readonly random: Random;
  private readonly entries: Entry[];
  private readonly pending = new Map<number, PendingRating[]>();
  private readonly stopTimes = new Map<number, number>();
  private exposedRequests = 0;
  private byteCount = 0;
  private requestIndex = 0;
  private fullShareMs: number;

  private constructor(
    private readonly way: RolloutWay,
    private readonly scenario: RolloutScenario,
    private readonly seed: number,
  ) {
    this.random = createRandom(seed);
    this.fullShareMs = scenario.durationMs;
    this.entries = Array.from({length: ENTRY_COUNT}, (_, index) =>
      createEntry(index, 1, way, 0),
    );
  }

  static create(
    way: RolloutWay,
    scenario: RolloutScenario,
    seed: number,
  ): RolloutRun {
    return new RolloutRun(way, scenario, seed);
  }

  run(): RolloutResult {
    const {durationMs} = this.scenario;
    for (let nowMs = 0; nowMs < durationMs; nowMs += TICK_MS) {
      if (nowMs === RESTART_AT_MS) this.restartFirst(nowMs);
      const {share} = this.entries[1].monitor;
      const ratingShares = resolveRatingShares(this.way, share);
      for (let i = 0; i < REQUESTS_PER_S; i++) this.serve(nowMs, ratingShares);
      this.deliverRatings(nowMs);
      this.exchange(nowMs);
      this.decide(nowMs);
      if (this.stopTimes.size === ENTRY_COUNT) break;
    }
    return this.summarize();
  }

  private restartFirst(nowMs: number): void {
    this.entries[0] = createEntry(0, 2, this.way, nowMs);
    for (const {sentRevisions} of this.entries) sentRevisions.delete(0);
  }

  private serve(nowMs: number, ratingShares: RatingShares): void {
    const {random, scenario} = this;
    const isBad = nowMs >= scenario.badFromMs;
    this.requestIndex += 1;
    const entryIndex = Math.floor(random() * ENTRY_COUNT);
    const {ledger, monitor, rulings} = this.entries[entryIndex];
    const unit = hashToUnitInterval(`r-${this.seed}-${this.requestIndex}`);
    const isCandidate = !rulings.isStopped(CANDIDATE) && unit < monitor.share;
    const version = isCandidate ? CANDIDATE : BASELINE;
    const behaviour = isCandidate && isBad ? scenario.bad : GOOD;
    if (isCandidate && isBad) this.exposedRequests += 1;
    const noise = ANSWER_DEVIATION * sampleNormal(random);
    const quality = clamp(behaviour.quality + noise, 0, 1);
    if (random() < behaviour.errorRate) {
      return ledger.record(version, {requests: 1, errors: 1});
    }
    const bias = behaviour.checkBias ?? 0;
    const check = quality + bias + CHECK_NOISE * sampleNormal(random);
    ledger.record(version, {requests: 1, checkScore: clamp(check, 0, 1)});
    const ratingShare = isCandidate
      ? ratingShares.candidate
      : ratingShares.other;
    if (random() >= ratingShare || random() < RATING_LOSS_SHARE) return;
    const score = clamp(quality + RATING_NOISE * sampleNormal(random), 0, 1);
    this.scheduleRating({entryIndex, version, score}, nowMs);
  }

  private scheduleRating(rating: PendingRating, nowMs: number): void {
    const delayS = sampleExponential(this.random, RATING_DELAY_MEAN_S);
    const dueMs = nowMs + TICK_MS * (1 + Math.floor(delayS));
    const list = this.pending.get(dueMs) ?? [];
    list.push(rating);
    this.pending.set(dueMs, list);
  }

  private deliverRatings(nowMs: number): void {
    const due = this.pending.get(nowMs) ?? [];
    for (const {entryIndex, version, score} of due) {
      this.entries[entryIndex].ledger.record(version, {score});
    }
    this.pending.delete(nowMs);
  }

  private exchange(nowMs: number): void {
    for (const from of this.entries.keys()) {
      for (const to of this.entries.keys()) {
        if (from !== to) this.send(from, to, nowMs);
      }
    }
  }

  private send(from: number, to: number, nowMs: number): void {
    const sender = this.entries[from];
    const receiver = this.entries[to];
    const delta = sender.ledger.createDelta(sender.sentRevisions.get(to) ?? 0);
    const text = encodeEvidence(delta);
    this.byteCount += text.length;
    if (this.random() < this.scenario.lossShare) return;
    sender.sentRevisions.set(to, delta.revision);
    receiver.ledger.merge(decodeEvidence(text));
    for (const ruling of sender.rulings.list()) receiver.rulings.merge(ruling);
    const {stepIndex} = sender.monitor;
    receiver.monitor.adoptStep(stepIndex, receiver.ledger, nowMs);
  }

  private decide(nowMs: number): void {
    for (const [index, {ledger, monitor, rulings}] of this.entries.entries()) {
      const decision = monitor.decide(ledger, nowMs);
      if (decision.action === 'stop') {
        rulings.stop(CANDIDATE, `entry-${index}`, decision.reason);
      }
      if (rulings.isStopped(CANDIDATE) && !this.stopTimes.has(index)) {
        this.stopTimes.set(index, nowMs);
      }
    }
    const isFull = this.entries[1].monitor.share === 1;
    if (isFull) this.fullShareMs = Math.min(this.fullShareMs, nowMs);
  }

  private summarize(): RolloutResult {
    const {durationMs, badFromMs} = this.scenario;
    const times = [...this.stopTimes.values()];
    const isStopped = times.length === ENTRY_COUNT;
    const lastMs = isStopped ? Math.max(...times) : durationMs;
    const firstMs = isStopped ? Math.min(...times) : durationMs;
    const lastedS = Math.max(1, lastMs / TICK_MS);
    return {
      exposedRequests: this.exposedRequests,
      isStopped,
      stopDelayMs: lastMs - Math.min(badFromMs, lastMs),
      fullShareMs: this.fullShareMs,
      spreadMs: lastMs - firstMs,
      bytesPerMemberPerS: this.byteCount / ENTRY_COUNT / lastedS,
    };
  }
}

function resolveRatingShares(way: RolloutWay, share: number): RatingShares {
  const even = RATING_BUDGET_PER_S / REQUESTS_PER_S;
  if (!way.focusesRatings) return {candidate: even, other: even};
  return planRatingShares({
    budgetPerS: RATING_BUDGET_PER_S,
    candidateRequestsPerS: share * REQUESTS_PER_S,
    otherRequestsPerS: (1 - share) * REQUESTS_PER_S,
  });
}

/** Runs one roll-out over four entries that exchange evidence each second. */
export function runRollout(
  way: RolloutWay,
  scenario: RolloutScenario,
  seed: number,
): RolloutResult {
  return RolloutRun.create(way, scenario, seed).run();
}
