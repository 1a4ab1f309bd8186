import {
  createRandom,
  sampleExponential,
  type Priority,
  type Random,
} from '@anvilrudder/core';
import {EngineModel, type EngineProfile} from './engine_model.js';
import {EntryModel} from './entry_model.js';
import {EventQueue} from './event_queue.js';
import type {ServiceWay} from './service_call.js';
import type {ServiceResult} from './service_result.js';
import {
  DOMAINS,
  ENTRY_COUNT,
  MEAN_ANSWER_TOKENS,
  PROMPT_TOKENS,
  VERSIONS,
  computeCapacityPerS,
  type Fault,
  type ServiceSetting,
  type ServiceWorld,
} from './service_setting.js';

const REPORT_PERIOD_MS = 1000;
const REPORT_LAG_MS = 1000;
const CALLER_ATTEMPTS = 3;
const IMPATIENT_RETRY_MS = 100;
const PATIENT_RETRY_MS = 1000;
const ENTRY_DETECTION_MS = 3000;
const MIN_ANSWER_TOKENS = 10;

/** A caller's request over all its tries. */
interface CallerRequest {
  readonly id: number;
  readonly askedMs: number;
  readonly attempt: number;
}

/** One try of a request; ends once. */
interface Try {
  readonly request: CallerRequest;
  readonly triedMs: number;
  firstTokenMs: number;
  isEnded: boolean;
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

function createWorld(
  way: ServiceWay,
  setting: ServiceSetting,
  random: Random,
): ServiceWorld {
  const events = EventQueue.create();
  const engines = Array.from({length: setting.engineCount}, (_, index) =>
    createEngine(index, setting, events),
  );
  const byId = new Map(engines.map(engine => [engine.profile.id, engine]));
  const poolCount = setting.secondVersionEngines > 0 ? 2 : 1;
  const poolSlots = (setting.engineCount * setting.slotsPerEngine) / poolCount;
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
  return {events, engines, entries};
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

function sampleAnswerTokens(random: Random): number {
  const factor = 0.5 + 0.5 * sampleExponential(random, 1);
  return Math.max(MIN_ANSWER_TOKENS, Math.round(MEAN_ANSWER_TOKENS * factor));
}

/** Callers, entries and engines under a load and faults. */
class ServiceRun {
  private readonly goodBySecond: number[];
  private readonly firstTokens: number[] = [];
  private readonly lastTryFirstTokens: number[] = [];
  private readonly downSince = new Map<EntryModel, number>();
  private offeredCount = 0;
  private attemptCount = 0;

  private constructor(
    private readonly setting: ServiceSetting,
    private readonly world: ServiceWorld,
    private readonly random: Random,
  ) {
    const secondCount = Math.ceil(setting.durationMs / 1000);
    this.goodBySecond = new Array<number>(secondCount).fill(0);
  }

  static create(
    setting: ServiceSetting,
    world: ServiceWorld,
    random: Random,
  ): ServiceRun {
    return new ServiceRun(setting, world, random);
  }

  run(faults: readonly Fault[]): ServiceResult {
    const {events} = this.world;
    this.report();
    this.arrive();
    for (const {atMs, apply} of faults) {
      events.at(atMs, () => apply(this.world));
    }
    events.runUntil(this.setting.durationMs);
    return this.summarize();
  }

  private arrive(): void {
    const {events} = this.world;
    const {setting, random} = this;
    const perS = computeCapacityPerS(setting) * setting.loadAt(events.nowMs);
    events.after(sampleExponential(random, 1000 / perS), () => {
      if (events.nowMs >= setting.durationMs) return;
      this.offeredCount += 1;
      this.ask({
        id: this.offeredCount,
        askedMs: events.nowMs,
        attempt: 1,
      });
      this.arrive();
    });
  }

  private ask(request: CallerRequest): void {
    const {events, entries} = this.world;
    const {setting, random} = this;
    const listed = entries.filter(entry => this.isListed(entry));
    const entry = listed[Math.floor(random() * listed.length)];
    const callId = `${request.id}.${request.attempt}`;
    const attempt: Try = {
      request,
      triedMs: events.nowMs,
      firstTokenMs: 0,
      isEnded: false,
    };
    this.attemptCount += 1;
    if (entry.isDown) return this.comeBack(attempt, undefined);
    const deadlineMs = events.nowMs + setting.deadlineMs;
    entry.accept({
      id: callId,
      versions: this.listVersions(request.id),
      priority: pickPriority(random),
      prefixKey: pickPrefix(random, setting.prefixCount),
      promptTokens: PROMPT_TOKENS,
      answerTokens: sampleAnswerTokens(random),
      deadlineMs,
      onFirstToken: () => {
        attempt.firstTokenMs = events.nowMs;
      },
      onDone: () => this.complete(attempt),
      onFailed: retryAfterMs => this.comeBack(attempt, retryAfterMs),
    });
    events.at(deadlineMs, () => {
      if (attempt.isEnded) return;
      entry.leave(callId);
      this.comeBack(attempt, setting.isImpatient ? 0 : undefined);
    });
  }

  private listVersions(id: number) {
    if (this.setting.secondVersionEngines === 0) return VERSIONS.slice(0, 1);
    return id % 2 === 1 ? [...VERSIONS].reverse() : VERSIONS;
  }

  private complete(attempt: Try): void {
    if (attempt.isEnded) return;
    attempt.isEnded = true;
    const {firstTokenMs, triedMs, request} = attempt;
    this.firstTokens.push(firstTokenMs - request.askedMs);
    this.lastTryFirstTokens.push(firstTokenMs - triedMs);
    const second = Math.floor(this.world.events.nowMs / 1000);
    if (second < this.goodBySecond.length) this.goodBySecond[second] += 1;
  }

  private comeBack(attempt: Try, retryAfterMs: number | undefined): void {
    if (attempt.isEnded) return;
    attempt.isEnded = true;
    const {request} = attempt;
    if (request.attempt >= CALLER_ATTEMPTS) return;
    const {isImpatient} = this.setting;
    const plainMs = isImpatient ? IMPATIENT_RETRY_MS : PATIENT_RETRY_MS;
    const delayMs = retryAfterMs ?? plainMs * (0.5 + this.random());
    this.world.events.after(delayMs, () =>
      this.ask({...request, attempt: request.attempt + 1}),
    );
  }

  private isListed(entry: EntryModel): boolean {
    if (!entry.isDown) return true;
    const {nowMs} = this.world.events;
    const sinceMs = this.downSince.get(entry) ?? nowMs;
    this.downSince.set(entry, sinceMs);
    return nowMs - sinceMs < ENTRY_DETECTION_MS;
  }

  private report(): void {
    const {events, engines, entries} = this.world;
    for (const engine of engines) {
      const load = engine.readReport();
      if (load === undefined) continue;
      events.after(REPORT_LAG_MS, () => {
        for (const {balancer} of entries) {
          balancer.observeReport(engine.profile.id, load);
        }
      });
    }
    if (events.nowMs >= this.setting.durationMs) return;
    events.after(REPORT_PERIOD_MS, () => this.report());
  }

  private summarize(): ServiceResult {
    const {engines, entries} = this.world;
    const sumOf = (values: readonly number[]) =>
      values.reduce((sum, value) => sum + value, 0);
    const hits = sumOf(engines.map(({prefixHits}) => prefixHits));
    const misses = sumOf(engines.map(({prefixMisses}) => prefixMisses));
    const dispatches = sumOf(entries.map(entry => entry.dispatches));
    const crossings = sumOf(entries.map(entry => entry.crossings));
    const byTime = (a: number, b: number) => a - b;
    return {
      goodBySecond: this.goodBySecond,
      firstTokenMs: this.firstTokens.sort(byTime),
      lastTryFirstTokenMs: this.lastTryFirstTokens.sort(byTime),
      offeredCount: this.offeredCount,
      goodCount: this.firstTokens.length,
      attemptCount: this.attemptCount,
      prefixHitShare: hits / Math.max(1, hits + misses),
      crossingShare: crossings / Math.max(1, dispatches),
    };
  }
}

/** Runs callers, entries and engines through a load and faults. */
export function runService(
  way: ServiceWay,
  setting: ServiceSetting,
  faults: readonly Fault[],
  seed: number,
): ServiceResult {
  const random = createRandom(seed);
  const world = createWorld(way, setting, random);
  return ServiceRun.create(setting, world, random).run(faults);
}
