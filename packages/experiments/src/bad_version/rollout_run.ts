import {
  EvidenceLedger,
  RolloutMonitor,
  RulingLedger,
  clamp,
  createRandom,
  decodeEvidence,
  encodeEvidence,
  hashToUnit,
  planRatingShares,
  sampleExponential,
  sampleNormal,
  type ModelVersion,
  type Random,
  type RampPolicyName,
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
  /** Seconds from the first entry's stop until the last. */
  readonly spreadMs: number;
  readonly bytesPerMemberPerS: number;
}

interface Entry {
  readonly ledger: EvidenceLedger;
  readonly monitor: RolloutMonitor;
  readonly rulings: RulingLedger;
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
    ledger: EvidenceLedger.create({
      host: `entry-${index}`,
      incarnation: String(incarnation),
    }),
    monitor: RolloutMonitor.create(
      {candidate: CANDIDATE, baseline: BASELINE, stop, ramp, settings},
      nowMs,
    ),
    rulings: RulingLedger.create(),
    sentRevisions: new Map(),
  };
}

function exchange(
  entries: readonly Entry[],
  lossShare: number,
  random: Random,
  nowMs: number,
): number {
  let byteCount = 0;
  for (const [from, sender] of entries.entries()) {
    for (const [to, receiver] of entries.entries()) {
      if (from === to) continue;
      const delta = sender.ledger.createDelta(
        sender.sentRevisions.get(to) ?? 0,
      );
      const text = encodeEvidence(delta);
      byteCount += text.length;
      if (random() < lossShare) continue;
      sender.sentRevisions.set(to, delta.revision);
      receiver.ledger.merge(decodeEvidence(text));
      for (const ruling of sender.rulings.list())
        receiver.rulings.merge(ruling);
      receiver.monitor.adoptStep(
        sender.monitor.stepIndex,
        receiver.ledger,
        nowMs,
      );
    }
  }
  return byteCount;
}

/** Runs one roll-out over four entries that exchange evidence each second. */
export function runRollout(
  way: RolloutWay,
  scenario: RolloutScenario,
  seed: number,
): RolloutResult {
  const random = createRandom(seed);
  const entries = Array.from({length: ENTRY_COUNT}, (_, index) =>
    createEntry(index, 1, way, 0),
  );
  const pending = new Map<number, PendingRating[]>();
  const stopTimes = new Map<number, number>();
  let exposedRequests = 0;
  let byteCount = 0;
  let fullShareMs = scenario.durationMs;
  let requestIndex = 0;
  const tickCount = scenario.durationMs / TICK_MS;
  for (let tick = 0; tick < tickCount; tick++) {
    const nowMs = tick * TICK_MS;
    const isBad = nowMs >= scenario.badFromMs;
    if (nowMs === RESTART_AT_MS) {
      entries[0] = createEntry(0, 2, way, nowMs);
      for (const entry of entries) entry.sentRevisions.delete(0);
    }
    const share = entries[1].monitor.share;
    const ratingShares = resolveRatingShares(way, share);
    for (let i = 0; i < REQUESTS_PER_S; i++) {
      requestIndex += 1;
      const entryIndex = Math.floor(random() * ENTRY_COUNT);
      const {ledger, monitor, rulings} = entries[entryIndex];
      const isStopped = rulings.isStopped(CANDIDATE);
      const unit = hashToUnit(`r-${seed}-${requestIndex}`);
      const isCandidate = !isStopped && unit < monitor.share;
      const version = isCandidate ? CANDIDATE : BASELINE;
      const behaviour = isCandidate && isBad ? scenario.bad : GOOD;
      if (isCandidate && isBad) exposedRequests += 1;
      const noise = ANSWER_DEVIATION * sampleNormal(random);
      const quality = clamp(behaviour.quality + noise, 0, 1);
      const isError = random() < behaviour.errorRate;
      if (isError) {
        ledger.record(version, {requests: 1, errors: 1});
        continue;
      }
      const bias = behaviour.checkBias ?? 0;
      const check = quality + bias + CHECK_NOISE * sampleNormal(random);
      ledger.record(version, {requests: 1, checkScore: clamp(check, 0, 1)});
      const ratingShare = isCandidate
        ? ratingShares.candidate
        : ratingShares.other;
      if (random() >= ratingShare || random() < RATING_LOSS_SHARE) continue;
      const score = clamp(quality + RATING_NOISE * sampleNormal(random), 0, 1);
      const delayS = sampleExponential(random, RATING_DELAY_MEAN_S);
      const due = tick + 1 + Math.floor(delayS);
      const list = pending.get(due) ?? [];
      list.push({entryIndex, version, score});
      pending.set(due, list);
    }
    for (const {entryIndex, version, score} of pending.get(tick) ?? []) {
      entries[entryIndex].ledger.record(version, {score});
    }
    pending.delete(tick);
    byteCount += exchange(entries, scenario.lossShare, random, nowMs);
    for (const [index, {ledger, monitor, rulings}] of entries.entries()) {
      const decision = monitor.decide(ledger, nowMs);
      if (decision.action === 'stop') {
        rulings.stop(CANDIDATE, `entry-${index}`, decision.reason);
      }
      if (rulings.isStopped(CANDIDATE) && !stopTimes.has(index)) {
        stopTimes.set(index, nowMs);
      }
    }
    if (fullShareMs === scenario.durationMs && entries[1].monitor.share === 1) {
      fullShareMs = nowMs;
    }
    if (stopTimes.size === ENTRY_COUNT) break;
  }
  const times = [...stopTimes.values()];
  const isStopped = times.length === ENTRY_COUNT;
  const lastMs = isStopped ? Math.max(...times) : scenario.durationMs;
  const firstMs = isStopped ? Math.min(...times) : scenario.durationMs;
  const badFromMs = Math.min(scenario.badFromMs, lastMs);
  return {
    exposedRequests,
    isStopped,
    stopDelayMs: lastMs - badFromMs,
    fullShareMs,
    spreadMs: lastMs - firstMs,
    bytesPerMemberPerS: byteCount / ENTRY_COUNT / Math.max(1, lastMs / TICK_MS),
  };
}

function resolveRatingShares(way: RolloutWay, share: number) {
  const even = RATING_BUDGET_PER_S / REQUESTS_PER_S;
  if (!way.focusesRatings) return {candidate: even, other: even};
  return planRatingShares({
    budgetPerS: RATING_BUDGET_PER_S,
    candidateRequestsPerS: share * REQUESTS_PER_S,
    otherRequestsPerS: (1 - share) * REQUESTS_PER_S,
  });
}
