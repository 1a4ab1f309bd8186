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

/** A combination of stop policy, ramp policy and rating allocation. */
export interface RolloutPolicy {
  readonly name: string;
  readonly stop: StopPolicyName;
  readonly ramp: RampPolicyName;
  readonly settings: Partial<RolloutSettings>;
  /** Whether the rating budget goes to the candidate first. */
  readonly focusesRatings: boolean;
}

/** Quality and errors of a version's answers. */
export interface VersionBehaviour {
  readonly quality: number;
  readonly errorRate: number;
  /** Offset of the check score from that of other versions of equal quality. */
  readonly checkBias?: number;
}

/** Behaviour of the candidate over time, and message loss between entries. */
export interface RolloutScenario {
  readonly name: string;
  readonly durationMs: number;
  /** Time from which the candidate has `badBehaviour`; it is good before. */
  readonly badFromMs: number;
  readonly badBehaviour: VersionBehaviour;
  /** Share of the evidence messages between entries that are lost. */
  readonly lossShare: number;
}

/** Measurements of one rollout. */
export interface RolloutResult {
  /** Requests that the bad version served at all entries. */
  readonly exposedRequests: number;
  readonly isStopped: boolean;
  /** Time from `badFromMs` until the last entry has stopped the candidate. */
  readonly stopDelayMs: number;
  /** Time at which the candidate received all requests. */
  readonly fullShareMs: number;
  /** Time between the first and the last entry's stop. */
  readonly spreadMs: number;
  readonly bytesPerMemberPerS: number;
}

interface Entry {
  readonly evidence: EvidenceTable;
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
const GOOD_BEHAVIOUR: VersionBehaviour = {quality: 0.78, errorRate: 0.005};
const ENTRY_COUNT = 4;
const REQUESTS_PER_S = 20;
const RATING_BUDGET_PER_S = 1;
const RATING_LOSS_SHARE = 0.2;
const RATING_DELAY_MEAN_S = 60;
const QUALITY_DEVIATION = 0.14;
const CHECK_NOISE = 0.12;
const RATING_NOISE = 0.08;
const TICK_MS = 1000;
const RESTART_AT_MS = 900_000;

function createEntry(
  index: number,
  incarnation: number,
  policy: RolloutPolicy,
  nowMs: number,
): Entry {
  const {stop, ramp, settings} = policy;
  return {
    evidence: EvidenceTable.create({
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

/**
 * Simulates four entries that serve requests, record ratings and exchange
 * evidence once per second.
 */
class RolloutRun {
  private readonly random: Random;
  private readonly entries: Entry[];
  private readonly pendingRatings = new Map<number, PendingRating[]>();
  private readonly stopTimes = new Map<number, number>();
  private exposedRequests = 0;
  private byteCount = 0;
  private requestIndex = 0;
  private fullShareMs: number;

  private constructor(
    private readonly policy: RolloutPolicy,
    private readonly scenario: RolloutScenario,
    private readonly seed: number,
  ) {
    this.random = createRandom(seed);
    this.fullShareMs = scenario.durationMs;
    this.entries = Array.from({length: ENTRY_COUNT}, (_, index) =>
      createEntry(index, 1, policy, 0),
    );
  }

  static create(
    policy: RolloutPolicy,
    scenario: RolloutScenario,
    seed: number,
  ): RolloutRun {
    return new RolloutRun(policy, scenario, seed);
  }

  run(): RolloutResult {
    const {durationMs} = this.scenario;
    for (let nowMs = 0; nowMs < durationMs; nowMs += TICK_MS) {
      if (nowMs === RESTART_AT_MS) this.restartFirstEntry(nowMs);
      const {share} = this.entries[1].monitor;
      const ratingShares = resolveRatingShares(this.policy, share);
      for (let i = 0; i < REQUESTS_PER_S; i++) this.serve(nowMs, ratingShares);
      this.deliverRatings(nowMs);
      this.exchangeEvidence(nowMs);
      this.applyDecisions(nowMs);
      if (this.stopTimes.size === ENTRY_COUNT) break;
    }
    return this.summarize();
  }

  private restartFirstEntry(nowMs: number): void {
    this.entries[0] = createEntry(0, 2, this.policy, nowMs);
    for (const {sentRevisions} of this.entries) sentRevisions.delete(0);
  }

  private serve(nowMs: number, ratingShares: RatingShares): void {
    const {random, scenario} = this;
    const isBad = nowMs >= scenario.badFromMs;
    this.requestIndex += 1;
    const entryIndex = Math.floor(random() * ENTRY_COUNT);
    const {evidence, monitor, rulings} = this.entries[entryIndex];
    const unit = hashToUnitInterval(`r-${this.seed}-${this.requestIndex}`);
    const isCandidate = !rulings.isStopped(CANDIDATE) && unit < monitor.share;
    const version = isCandidate ? CANDIDATE : BASELINE;
    const behaviour =
      isCandidate && isBad ? scenario.badBehaviour : GOOD_BEHAVIOUR;
    if (isCandidate && isBad) this.exposedRequests += 1;
    const noise = QUALITY_DEVIATION * sampleNormal(random);
    const quality = clamp(behaviour.quality + noise, 0, 1);
    if (random() < behaviour.errorRate) {
      return evidence.record(version, {requests: 1, errors: 1});
    }
    const bias = behaviour.checkBias ?? 0;
    const check = quality + bias + CHECK_NOISE * sampleNormal(random);
    evidence.record(version, {requests: 1, checkScore: clamp(check, 0, 1)});
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
    const ratings = this.pendingRatings.get(dueMs) ?? [];
    ratings.push(rating);
    this.pendingRatings.set(dueMs, ratings);
  }

  private deliverRatings(nowMs: number): void {
    const due = this.pendingRatings.get(nowMs) ?? [];
    for (const {entryIndex, version, score} of due) {
      this.entries[entryIndex].evidence.record(version, {score});
    }
    this.pendingRatings.delete(nowMs);
  }

  private exchangeEvidence(nowMs: number): void {
    for (const from of this.entries.keys()) {
      for (const to of this.entries.keys()) {
        if (from !== to) this.sendEvidence(from, to, nowMs);
      }
    }
  }

  private sendEvidence(from: number, to: number, nowMs: number): void {
    const sender = this.entries[from];
    const receiver = this.entries[to];
    const delta = sender.evidence.createDelta(
      sender.sentRevisions.get(to) ?? 0,
    );
    const encoded = encodeEvidence(delta);
    this.byteCount += encoded.length;
    if (this.random() < this.scenario.lossShare) return;
    sender.sentRevisions.set(to, delta.revision);
    receiver.evidence.merge(decodeEvidence(encoded));
    for (const ruling of sender.rulings.list()) receiver.rulings.merge(ruling);
    const {stepIndex} = sender.monitor;
    receiver.monitor.adoptStep(stepIndex, receiver.evidence, nowMs);
  }

  private applyDecisions(nowMs: number): void {
    for (const [
      index,
      {evidence, monitor, rulings},
    ] of this.entries.entries()) {
      const decision = monitor.decide(evidence, nowMs);
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
    const stopTimesMs = [...this.stopTimes.values()];
    const isStopped = stopTimesMs.length === ENTRY_COUNT;
    const lastMs = isStopped ? Math.max(...stopTimesMs) : durationMs;
    const firstMs = isStopped ? Math.min(...stopTimesMs) : durationMs;
    const durationS = Math.max(1, lastMs / TICK_MS);
    return {
      exposedRequests: this.exposedRequests,
      isStopped,
      stopDelayMs: lastMs - Math.min(badFromMs, lastMs),
      fullShareMs: this.fullShareMs,
      spreadMs: lastMs - firstMs,
      bytesPerMemberPerS: this.byteCount / ENTRY_COUNT / durationS,
    };
  }
}

function resolveRatingShares(
  policy: RolloutPolicy,
  share: number,
): RatingShares {
  const evenShare = RATING_BUDGET_PER_S / REQUESTS_PER_S;
  if (!policy.focusesRatings) return {candidate: evenShare, other: evenShare};
  return planRatingShares({
    budgetPerS: RATING_BUDGET_PER_S,
    candidateRequestsPerS: share * REQUESTS_PER_S,
    otherRequestsPerS: (1 - share) * REQUESTS_PER_S,
  });
}

/**
 * Simulates one rollout on four entries that exchange evidence once per second.
 */
export function runRollout(
  policy: RolloutPolicy,
  scenario: RolloutScenario,
  seed: number,
): RolloutResult {
  return RolloutRun.create(policy, scenario, seed).run();
}
