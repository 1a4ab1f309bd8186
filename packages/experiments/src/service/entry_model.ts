import {
  AdmissionController,
  BackendBalancer,
  RetryBudget,
  findRetryRefusal,
  formatModelVersion,
  type ModelVersion,
  type Random,
} from '@anvilrudder/core';
import type {EngineModel} from './engine_model.js';
import type {EventQueue} from './event_queue.js';
import type {ServiceCall, ServiceWay} from './service_call.js';

const MAX_ATTEMPTS = 3;
const CROSSING_MS = 0.5;
const LOCAL_MS = 0.1;
const LAST_RESORT_RETRY_MS = 1000;

interface ActiveCall {
  readonly call: ServiceCall;
  readonly version: ModelVersion;
  readonly admission: AdmissionController;
  readonly tried: Set<string>;
  attemptCount: number;
  serverId: string | undefined;
  dispatchedMs: number;
  firstTokenMs: number | undefined;
}

/** One entry: the decision core between callers and engines. */
export class EntryModel {
  isDown = false;
  crossings = 0;
  dispatches = 0;
  private readonly active = new Map<string, ActiveCall>();
  private readonly admissions = new Map<string, AdmissionController>();
  private readonly budget: RetryBudget;
  readonly balancer: BackendBalancer;

  private constructor(
    private readonly way: ServiceWay,
    private readonly failureDomain: string,
    private readonly engines: ReadonlyMap<string, EngineModel>,
    private readonly concurrencyByPool: number,
    entryCount: number,
    private readonly events: EventQueue,
    private readonly random: Random,
  ) {
    this.budget = RetryBudget.create({policy: way.retries});
    this.balancer = BackendBalancer.create({
      failureDomain,
      random,
      policy: way.servers,
      ejection: way.ejects
        ? {}
        : {maxEjectedShare: 0, consecutiveUnreachable: Infinity},
    });
    this.balancer.setEntryCount(entryCount);
    this.balancer.updateServers(
      [...engines.values()].map(({profile}) => profile),
    );
  }

  static create(
    way: ServiceWay,
    failureDomain: string,
    engines: ReadonlyMap<string, EngineModel>,
    concurrencyByPool: number,
    entryCount: number,
    events: EventQueue,
    random: Random,
  ): EntryModel {
    return new EntryModel(
      way,
      failureDomain,
      engines,
      concurrencyByPool,
      entryCount,
      events,
      random,
    );
  }

  /** Takes a call from a caller. */
  accept(call: ServiceCall): void {
    const {nowMs} = this.events;
    const version = this.resolveVersion(call);
    if (version === undefined) {
      return call.onFailed(LAST_RESORT_RETRY_MS * (0.5 + this.random()));
    }
    const admission = this.resolveAdmission(version);
    const active: ActiveCall = {
      call,
      version,
      admission,
      tried: new Set(),
      attemptCount: 0,
      serverId: undefined,
      dispatchedMs: 0,
      firstTokenMs: undefined,
    };
    this.active.set(call.id, active);
    this.budget.recordFirstAttempt(nowMs);
    const {id, priority, deadlineMs} = call;
    const {action, rejections} = admission.offer(
      {id, priority, deadlineMs},
      nowMs,
    );
    for (const rejection of rejections) {
      this.fail(rejection.id, rejection.retryAfterMs);
    }
    if (action === 'dispatch') this.attempt(active);
  }

  /** The caller left before the answer was whole. */
  leave(id: string): void {
    const active = this.active.get(id);
    if (active === undefined) return;
    if (active.admission.cancel(id)) {
      this.active.delete(id);
      return;
    }
    if (!this.way.cancels) return;
    this.active.delete(id);
    const {serverId, admission} = active;
    if (serverId !== undefined) {
      this.engines.get(serverId)?.cancel(id);
      this.balancer.finish(serverId, {isFailure: false}, this.events.nowMs);
    }
    admission.abandon();
    this.pump(admission);
  }

  /** Ends the entry; its callers and engines see their connections close. */
  crash(): void {
    this.isDown = true;
    for (const [id, {call, serverId}] of this.active) {
      if (serverId !== undefined) this.engines.get(serverId)?.cancel(id);
      call.onFailed(undefined);
    }
    this.active.clear();
  }

  private resolveVersion(call: ServiceCall): ModelVersion | undefined {
    if (!this.way.fallsBack) return call.versions[0];
    return call.versions.find(
      version => this.balancer.countAvailable(version, this.events.nowMs) > 0,
    );
  }

  private resolveAdmission(version: ModelVersion): AdmissionController {
    const key = formatModelVersion(version);
    const known = this.admissions.get(key);
    if (known !== undefined) return known;
    const admission = AdmissionController.create({
      random: this.random,
      policy: this.way.admission,
      initialConcurrency: this.concurrencyByPool,
      maxConcurrency: this.concurrencyByPool * 2,
    });
    this.admissions.set(key, admission);
    return admission;
  }

  private attempt(active: ActiveCall): void {
    const {call, version} = active;
    const {nowMs} = this.events;
    const {prefixKey} = call;
    const excluded = active.tried;
    const serverId = this.balancer.pick(
      {...version, prefixKey, excluded},
      nowMs,
    );
    if (serverId === undefined) {
      active.admission.abandon();
      this.fail(call.id, LAST_RESORT_RETRY_MS * (0.5 + this.random()));
      return this.pump(active.admission);
    }
    active.serverId = serverId;
    active.attemptCount += 1;
    active.tried.add(serverId);
    if (active.attemptCount === 1) active.dispatchedMs = nowMs;
    const engine = this.engines.get(serverId) as EngineModel;
    const isLocal = engine.profile.failureDomain === this.failureDomain;
    this.dispatches += 1;
    if (!isLocal) this.crossings += 1;
    this.events.after(isLocal ? LOCAL_MS : CROSSING_MS, () =>
      this.send(active, engine),
    );
  }

  private send(active: ActiveCall, engine: EngineModel): void {
    const {call} = active;
    if (this.active.get(call.id) !== active) return;
    const isCurrent = () => this.active.get(call.id) === active;
    const result = engine.submit({
      id: call.id,
      priority: call.priority,
      prefixKey: call.prefixKey,
      promptTokens: call.promptTokens,
      answerTokens: call.answerTokens,
      onFirstToken: () => {
        if (!isCurrent()) return;
        active.firstTokenMs ??= this.events.nowMs;
        call.onFirstToken();
      },
      onDone: () => {
        if (isCurrent()) this.complete(active);
      },
      onBroken: () => {
        if (isCurrent()) this.retryOrFail(active, 'unknown', true);
      },
    });
    if (result === 'accepted') return;
    this.retryOrFail(active, 'notRun', result === 'unreachable');
  }

  private complete(active: ActiveCall): void {
    const {call, admission, dispatchedMs} = active;
    const {nowMs} = this.events;
    const firstTokenMs = (active.firstTokenMs ?? nowMs) - dispatchedMs;
    const lastedMs = nowMs - (active.firstTokenMs ?? nowMs);
    const paceMs = lastedMs / call.answerTokens;
    this.active.delete(call.id);
    this.balancer.finish(
      active.serverId as string,
      {isFailure: false, tokenLatencyMs: paceMs},
      nowMs,
    );
    const serviceMs = nowMs - dispatchedMs;
    admission.finish({serviceMs, firstTokenMs, wasRefused: false}, nowMs);
    call.onDone();
    this.pump(admission);
  }

  private retryOrFail(
    active: ActiveCall,
    execution: 'notRun' | 'unknown',
    isUnreachable: boolean,
  ): void {
    const {call, admission} = active;
    const {nowMs} = this.events;
    const outcome = {isFailure: isUnreachable, isUnreachable};
    this.balancer.finish(active.serverId as string, outcome, nowMs);
    const refusal = findRetryRefusal({
      execution,
      isIdempotent: true,
      attemptCount: active.attemptCount,
      maxAttempts: MAX_ATTEMPTS,
      remainingMs: call.deadlineMs - nowMs,
      expectedMs: 0,
    });
    if (refusal === undefined && this.budget.tryTake(nowMs)) {
      active.serverId = undefined;
      return this.attempt(active);
    }
    const wasRefused = !isUnreachable;
    if (wasRefused) {
      admission.finish({serviceMs: 0, firstTokenMs: 0, wasRefused}, nowMs);
    } else {
      admission.abandon();
    }
    this.fail(call.id, LAST_RESORT_RETRY_MS * (0.5 + this.random()));
    this.pump(admission);
  }

  private pump(admission: AdmissionController): void {
    const change = admission.takeReady(this.events.nowMs);
    for (const {id, retryAfterMs} of change.rejections) {
      this.fail(id, retryAfterMs);
    }
    for (const id of change.dispatched) {
      const active = this.active.get(id);
      if (active !== undefined) this.attempt(active);
      else admission.abandon();
    }
  }

  private fail(id: string, retryAfterMs: number): void {
    const active = this.active.get(id);
    if (active === undefined) return;
    this.active.delete(id);
    const usesRetryAfter = this.way.admission !== 'unbounded';
    active.call.onFailed(usesRetryAfter ? retryAfterMs : undefined);
  }
}
