import {
  createRandom,
  readQuantile,
  sampleExponential,
  type ModelVersion,
  type Priority,
  type Random,
} from '@anvilrudder/core';
import {
  EngineModel,
  computeMeanServiceMs,
  type EngineProfile,
} from './engine_model.js';
import {EntryModel, type ServiceWay} from './entry_model.js';
import {EventQueue} from './event_queue.js';

/** Sizes and traffic of a run. */
export interface ServiceSetting {
  readonly engineCount: number;
  readonly slotsPerEngine: number;
  /** Engines that serve the second version in place of the first. */
  readonly secondVersionEngines: number;
  readonly prefixCount: number;
  readonly prefixCapacity: number;
  readonly durationMs: number;
  /** Offered load over the nominal capacity, by time. */
  readonly loadAt: (nowMs: number) => number;
  readonly deadlineMs: number;
  /** True when callers come back at once after failures and timeouts. */
  readonly isImpatient: boolean;
}

/** Something that happens during a run. */
export interface Fault {
  readonly atMs: number;
  readonly apply: (world: ServiceWorld) => void;
}

/** Everything that faults may touch. */
export interface ServiceWorld {
  readonly events: EventQueue;
  readonly engines: readonly EngineModel[];
  readonly entries: readonly EntryModel[];
}

/** Figures of a run. */
export interface ServiceResult {
  /** Answers within their deadline, by second of the first attempt's end. */
  readonly goodBySecond: readonly number[];
  /** First tokens of good answers, sorted, from the caller's first try on. */
  readonly firstTokenMs: readonly number[];
  /** The same from the try that was answered. */
  readonly lastTryFirstTokenMs: readonly number[];
  readonly offeredCount: number;
  readonly goodCount: number;
  readonly attemptCount: number;
  readonly prefixHitShare: number;
  readonly crossingShare: number;
}

export const VERSIONS: readonly ModelVersion[] = [
  {model: 'quick', version: 'v1'},
  {model: 'steady', version: 'v1'},
];
const ENTRY_COUNT = 4;
const DOMAINS = ['a', 'b', 'c'];
const PROMPT_TOKENS = 800;
const MEAN_ANSWER_TOKENS = 100;
const REPORT_PERIOD_MS = 1000;
const REPORT_LAG_MS = 1000;
const CALLER_ATTEMPTS = 3;
const IMPATIENT_RETRY_MS = 100;
const PATIENT_RETRY_MS = 1000;
const ENTRY_DETECTION_MS = 3000;

export const PLAIN_SETTING: ServiceSetting = {
  engineCount: 12,
  slotsPerEngine: 8,
  secondVersionEngines: 0,
  prefixCount: 120,
  prefixCapacity: 30,
  durationMs: 60_000,
  loadAt: () => 0.7,
  deadlineMs: 8000,
  isImpatient: false,
};

/** Requests a second that the engines can just serve. */
export function computeCapacityPerS(setting: ServiceSetting): number {
  const serviceMs = computeMeanServiceMs(PROMPT_TOKENS, MEAN_ANSWER_TOKENS);
  return (setting.engineCount * setting.slotsPerEngine * 1000) / serviceMs;
}

function createEngine(
  index: number,
  setting: ServiceSetting,
  events: EventQueue,
): EngineModel {
  const isSecond = index < setting.secondVersionEngines;
  const profile: EngineProfile = {
    id: `engine-${index}`,
    failureDomain: DOMAINS[index % DOMAINS.length],
    slots: setting.slotsPerEngine,
    prefixCapacity: setting.prefixCapacity,
    loaded: [VERSIONS[isSecond ? 1 : 0]],
  };
  return EngineModel.create(profile, events);
}

function pickPriority(random: Random): Priority {
  const unit = random();
  if (unit < 0.2) return 'high';
  return unit < 0.8 ? 'normal' : 'low';
}

// Few prefixes are asked for often, as by Zipf's law.
function pickPrefix(random: Random, count: number): string {
  return `prefix-${Math.floor(count ** random()) - 1}`;
}

/** Runs callers, entries and engines through a load and faults. */
export function runService(
  way: ServiceWay,
  setting: ServiceSetting,
  faults: readonly Fault[],
  seed: number,
): ServiceResult {
  const events = EventQueue.create();
  const random = createRandom(seed);
  const engines = Array.from({length: setting.engineCount}, (_, index) =>
    createEngine(index, setting, events),
  );
  const byId = new Map(engines.map(engine => [engine.profile.id, engine]));
  const hasTwoVersions = setting.secondVersionEngines > 0;
  const poolSlots =
    (setting.engineCount * setting.slotsPerEngine) / (hasTwoVersions ? 2 : 1);
  const entries = Array.from({length: ENTRY_COUNT}, (_, index) =>
    EntryModel.create(
      way,
      DOMAINS[index % DOMAINS.length],
      byId,
      Math.ceil(poolSlots / ENTRY_COUNT),
      ENTRY_COUNT,
      events,
      random,
    ),
  );
  const goodBySecond = new Array<number>(
    Math.ceil(setting.durationMs / 1000),
  ).fill(0);
  const firstTokens: number[] = [];
  const lastTryFirstTokens: number[] = [];
  const counts = {offered: 0, good: 0, attempts: 0};

  const ask = (id: number, askedMs: number, attempt: number) => {
    const listed = entries.filter(entry => isListed(entry, events.nowMs));
    const entry = listed[Math.floor(random() * listed.length)];
    const callId = `${id}.${attempt}`;
    counts.attempts += 1;
    let isEnded = false;
    const comeBack = (retryAfterMs: number | undefined) => {
      if (isEnded) return;
      isEnded = true;
      if (attempt >= CALLER_ATTEMPTS) return;
      const plainMs = setting.isImpatient
        ? IMPATIENT_RETRY_MS
        : PATIENT_RETRY_MS;
      const delayMs = retryAfterMs ?? plainMs * (0.5 + random());
      events.after(delayMs, () => ask(id, askedMs, attempt + 1));
    };
    if (entry.isDown) return comeBack(undefined);
    const deadlineMs = events.nowMs + setting.deadlineMs;
    const triedMs = events.nowMs;
    let firstTokenMs = 0;
    const versions =
      hasTwoVersions && id % 2 === 1 ? [...VERSIONS].reverse() : VERSIONS;
    entry.accept({
      id: callId,
      versions: hasTwoVersions ? versions : VERSIONS.slice(0, 1),
      priority: pickPriority(random),
      prefixKey: pickPrefix(random, setting.prefixCount),
      promptTokens: PROMPT_TOKENS,
      answerTokens: Math.max(
        10,
        Math.round(
          MEAN_ANSWER_TOKENS * (0.5 + 0.5 * sampleExponential(random, 1)),
        ),
      ),
      arrivedMs: events.nowMs,
      deadlineMs,
      onFirstToken: () => {
        firstTokenMs = events.nowMs;
      },
      onDone: () => {
        if (isEnded) return;
        isEnded = true;
        counts.good += 1;
        firstTokens.push(firstTokenMs - askedMs);
        lastTryFirstTokens.push(firstTokenMs - triedMs);
        const second = Math.floor(events.nowMs / 1000);
        if (second < goodBySecond.length) goodBySecond[second] += 1;
      },
      onFailed: comeBack,
    });
    events.at(deadlineMs, () => {
      if (isEnded) return;
      entry.leave(callId);
      comeBack(setting.isImpatient ? 0 : undefined);
    });
  };

  const arrive = () => {
    const perS = computeCapacityPerS(setting) * setting.loadAt(events.nowMs);
    const gapMs = sampleExponential(random, 1000 / perS);
    events.after(gapMs, () => {
      if (events.nowMs >= setting.durationMs) return;
      counts.offered += 1;
      ask(counts.offered, events.nowMs, 1);
      arrive();
    });
  };
  const downSince = new Map<EntryModel, number>();
  const isListed = (entry: EntryModel, nowMs: number) => {
    if (!entry.isDown) return true;
    const sinceMs = downSince.get(entry) ?? nowMs;
    downSince.set(entry, sinceMs);
    return nowMs - sinceMs < ENTRY_DETECTION_MS;
  };
  const report = () => {
    for (const engine of engines) {
      const load = engine.readReport();
      if (load === undefined) continue;
      events.after(REPORT_LAG_MS, () => {
        for (const {balancer} of entries) {
          balancer.observeReport(engine.profile.id, load);
        }
      });
    }
    if (events.nowMs < setting.durationMs)
      events.after(REPORT_PERIOD_MS, report);
  };
  report();
  arrive();
  for (const {atMs, apply} of faults) {
    events.at(atMs, () => apply({events, engines, entries}));
  }
  events.runUntil(setting.durationMs);
  const hits = engines.reduce((sum, engine) => sum + engine.prefixHits, 0);
  const misses = engines.reduce((sum, engine) => sum + engine.prefixMisses, 0);
  const dispatches = entries.reduce((sum, entry) => sum + entry.dispatches, 0);
  const crossings = entries.reduce((sum, entry) => sum + entry.crossings, 0);
  return {
    goodBySecond,
    firstTokenMs: firstTokens.sort((a, b) => a - b),
    lastTryFirstTokenMs: lastTryFirstTokens.sort((a, b) => a - b),
    offeredCount: counts.offered,
    goodCount: counts.good,
    attemptCount: counts.attempts,
    prefixHitShare: hits / Math.max(1, hits + misses),
    crossingShare: crossings / Math.max(1, dispatches),
  };
}

/** Quantiles of the first token. */
export function summarizeFirstTokens(result: ServiceResult) {
  return {
    firstTokenP50Ms: readQuantile(result.firstTokenMs, 0.5),
    firstTokenP95Ms: readQuantile(result.firstTokenMs, 0.95),
    firstTokenP99Ms: readQuantile(result.firstTokenMs, 0.99),
    lastTryP95Ms: readQuantile(result.lastTryFirstTokenMs, 0.95),
  };
}

/** Mean of the good answers a second over an interval. */
export function readGoodput(
  result: ServiceResult,
  fromMs: number,
  toMs: number,
): number {
  const seconds = result.goodBySecond.slice(fromMs / 1000, toMs / 1000);
  return seconds.reduce((sum, count) => sum + count, 0) / seconds.length;
}
