import {
  createRandom,
  sampleExponential,
  type Priority,
  type Random,
} from '@anvilrudder/core';
import {EngineModel, type EngineProfile} from './engine_model.js';
import {EntryModel} from './entry_model.js';
import {EventQueue} from './event_queue.js';
import type {ServicePolicy} from './service_call.js';
import type {ServiceResult} from './service_result.js';
import {
  FAILURE_DOMAINS,
  ENTRY_COUNT,
  MEAN_ANSWER_TOKENS,
  PROMPT_TOKENS,
  VERSIONS,
  computeCapacityPerS,
  type Fault,
  type ServiceConfig,
  type SimulatedService,
} from './service_config.js';

const REPORT_PERIOD_MS = 1000;
const REPORT_DELAY_MS = 1000;
const MAX_CALLER_ATTEMPTS = 3;
const EAGER_RETRY_DELAY_MS = 100;
const DEFAULT_RETRY_DELAY_MS = 1000;
const ENTRY_DETECTION_MS = 3000;
const MIN_ANSWER_TOKENS = 10;

/** A caller's request; its attempts share the id and the arrival time. */
interface CallerRequest {
  readonly id: number;
  readonly arrivedMs: number;
  readonly attemptNumber: number;
}

/** One attempt of a request. It ends only once. */
interface Attempt {
  readonly request: CallerRequest;
  readonly startedMs: number;
  firstTokenMs: number;
  isEnded: boolean;
}

function createEngine(
  index: number,
  config: ServiceConfig,
  events: EventQueue,
): EngineModel {
  const servesSecondVersion = index < config.secondVersionEngineCount;
  const profile: EngineProfile = {
    id: `engine-${index}`,
    failureDomain: FAILURE_DOMAINS[index % FAILURE_DOMAINS.length],
    slots: config.slotsPerEngine,
    prefixCapacity: config.prefixCapacity,
    loaded: [VERSIONS[servesSecondVersion ? 1 : 0]],
  };
  return EngineModel.create(profile, events);
}

function createService(
  policy: ServicePolicy,
  config: ServiceConfig,
  random: Random,
): SimulatedService {
  const events = EventQueue.create();
  const engines = Array.from({length: config.engineCount}, (_, index) =>
    createEngine(index, config, events),
  );
  const enginesById = new Map(
    engines.map(engine => [engine.profile.id, engine]),
  );
  const versionCount = config.secondVersionEngineCount > 0 ? 2 : 1;
  const slotsPerVersion =
    (config.engineCount * config.slotsPerEngine) / versionCount;
  const entries = Array.from({length: ENTRY_COUNT}, (_, index) =>
    EntryModel.create(
      policy,
      FAILURE_DOMAINS[index % FAILURE_DOMAINS.length],
      enginesById,
      Math.ceil(slotsPerVersion / ENTRY_COUNT),
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

// Samples from an approximate Zipf distribution: few prefixes are used often.
function pickPrefix(random: Random, count: number): string {
  return `prefix-${Math.floor(count ** random()) - 1}`;
}

function sampleAnswerTokens(random: Random): number {
  const factor = 0.5 + 0.5 * sampleExponential(random, 1);
  return Math.max(MIN_ANSWER_TOKENS, Math.round(MEAN_ANSWER_TOKENS * factor));
}

/** Simulates callers, entries and engines with load and faults. */
class ServiceRun {
  private readonly goodBySecond: number[];
  private readonly firstTokens: number[] = [];
  private readonly lastAttemptFirstTokens: number[] = [];
  private readonly downSince = new Map<EntryModel, number>();
  private offeredCount = 0;
  private attemptCount = 0;

  private constructor(
    private readonly config: ServiceConfig,
    private readonly service: SimulatedService,
    private readonly random: Random,
  ) {
    const secondCount = Math.ceil(config.durationMs / 1000);
    this.goodBySecond = new Array<number>(secondCount).fill(0);
  }

  static create(
    config: ServiceConfig,
    service: SimulatedService,
    random: Random,
  ): ServiceRun {
    return new ServiceRun(config, service, random);
  }

  run(faults: readonly Fault[]): ServiceResult {
    const {events} = this.service;
    this.sendLoadReports();
    this.scheduleArrival();
    for (const {atMs, apply} of faults) {
      events.at(atMs, () => apply(this.service));
    }
    events.runUntil(this.config.durationMs);
    return this.summarize();
  }

  private scheduleArrival(): void {
    const {events} = this.service;
    const {config, random} = this;
    const arrivalsPerS =
      computeCapacityPerS(config) * config.loadAt(events.nowMs);
    events.after(sampleExponential(random, 1000 / arrivalsPerS), () => {
      if (events.nowMs >= config.durationMs) return;
      this.offeredCount += 1;
      this.startAttempt({
        id: this.offeredCount,
        arrivedMs: events.nowMs,
        attemptNumber: 1,
      });
      this.scheduleArrival();
    });
  }

  private startAttempt(request: CallerRequest): void {
    const {events, entries} = this.service;
    const {config, random} = this;
    const listed = entries.filter(entry => this.isListed(entry));
    const entry = listed[Math.floor(random() * listed.length)];
    const callId = `${request.id}.${request.attemptNumber}`;
    const attempt: Attempt = {
      request,
      startedMs: events.nowMs,
      firstTokenMs: 0,
      isEnded: false,
    };
    this.attemptCount += 1;
    if (entry.isDown) return this.scheduleRetry(attempt, undefined);
    const deadlineMs = events.nowMs + config.deadlineMs;
    entry.accept({
      id: callId,
      versions: this.listVersions(request.id),
      priority: pickPriority(random),
      prefixKey: pickPrefix(random, config.prefixCount),
      promptTokens: PROMPT_TOKENS,
      answerTokens: sampleAnswerTokens(random),
      deadlineMs,
      onFirstToken: () => {
        attempt.firstTokenMs = events.nowMs;
      },
      onDone: () => this.complete(attempt),
      onFailed: retryAfterMs => this.scheduleRetry(attempt, retryAfterMs),
    });
    events.at(deadlineMs, () => {
      if (attempt.isEnded) return;
      entry.cancel(callId);
      this.scheduleRetry(attempt, config.retriesEagerly ? 0 : undefined);
    });
  }

  private listVersions(id: number) {
    if (this.config.secondVersionEngineCount === 0) return VERSIONS.slice(0, 1);
    return id % 2 === 1 ? [...VERSIONS].reverse() : VERSIONS;
  }

  private complete(attempt: Attempt): void {
    if (attempt.isEnded) return;
    attempt.isEnded = true;
    const {firstTokenMs, startedMs, request} = attempt;
    this.firstTokens.push(firstTokenMs - request.arrivedMs);
    this.lastAttemptFirstTokens.push(firstTokenMs - startedMs);
    const second = Math.floor(this.service.events.nowMs / 1000);
    if (second < this.goodBySecond.length) this.goodBySecond[second] += 1;
  }

  private scheduleRetry(
    attempt: Attempt,
    retryAfterMs: number | undefined,
  ): void {
    if (attempt.isEnded) return;
    attempt.isEnded = true;
    const {request} = attempt;
    if (request.attemptNumber >= MAX_CALLER_ATTEMPTS) return;
    const {retriesEagerly} = this.config;
    const meanDelayMs = retriesEagerly
      ? EAGER_RETRY_DELAY_MS
      : DEFAULT_RETRY_DELAY_MS;
    const delayMs = retryAfterMs ?? meanDelayMs * (0.5 + this.random());
    this.service.events.after(delayMs, () =>
      this.startAttempt({...request, attemptNumber: request.attemptNumber + 1}),
    );
  }

  private isListed(entry: EntryModel): boolean {
    if (!entry.isDown) return true;
    const {nowMs} = this.service.events;
    const sinceMs = this.downSince.get(entry) ?? nowMs;
    this.downSince.set(entry, sinceMs);
    return nowMs - sinceMs < ENTRY_DETECTION_MS;
  }

  private sendLoadReports(): void {
    const {events, engines, entries} = this.service;
    for (const engine of engines) {
      const load = engine.readLoadReport();
      if (load === undefined) continue;
      events.after(REPORT_DELAY_MS, () => {
        for (const {balancer} of entries) {
          balancer.observeReport(engine.profile.id, load);
        }
      });
    }
    if (events.nowMs >= this.config.durationMs) return;
    events.after(REPORT_PERIOD_MS, () => this.sendLoadReports());
  }

  private summarize(): ServiceResult {
    const {engines, entries} = this.service;
    const sumOf = (values: readonly number[]) =>
      values.reduce((sum, value) => sum + value, 0);
    const hits = sumOf(engines.map(({prefixHits}) => prefixHits));
    const misses = sumOf(engines.map(({prefixMisses}) => prefixMisses));
    const dispatches = sumOf(entries.map(entry => entry.dispatches));
    const crossDomainDispatches = sumOf(
      entries.map(entry => entry.crossDomainDispatches),
    );
    const byTime = (a: number, b: number) => a - b;
    return {
      goodBySecond: this.goodBySecond,
      firstTokenMs: this.firstTokens.sort(byTime),
      lastAttemptFirstTokenMs: this.lastAttemptFirstTokens.sort(byTime),
      offeredCount: this.offeredCount,
      goodCount: this.firstTokens.length,
      attemptCount: this.attemptCount,
      prefixHitShare: hits / Math.max(1, hits + misses),
      crossingShare: crossDomainDispatches / Math.max(1, dispatches),
    };
  }
}

/** Simulates callers, entries and engines with the load and the faults given. */
export function runService(
  policy: ServicePolicy,
  config: ServiceConfig,
  faults: readonly Fault[],
  seed: number,
): ServiceResult {
  const random = createRandom(seed);
  const service = createService(policy, config, random);
  return ServiceRun.create(config, service, random).run(faults);
}
