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
import type {ServiceCall, ServicePolicy} from './service_call.js';

const MAX_ATTEMPTS = 3;
const CROSS_DOMAIN_DELAY_MS = 0.5;
const SAME_DOMAIN_DELAY_MS = 0.1;
const DEFAULT_RETRY_AFTER_MS = 1000;

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

/**
 * Simulates an entry: admission, choice of the backend server, and retries
 * between callers and engines.
 */
export class EntryModel {
  isDown = false;
  crossDomainDispatches = 0;
  dispatches = 0;
  private readonly active = new Map<string, ActiveCall>();
  private readonly admissions = new Map<string, AdmissionController>();
  private readonly retryBudget: RetryBudget;
  readonly balancer: BackendBalancer;

  private constructor(
    private readonly policy: ServicePolicy,
    private readonly failureDomain: string,
    private readonly engines: ReadonlyMap<string, EngineModel>,
    private readonly concurrencyPerVersion: number,
    entryCount: number,
    private readonly events: EventQueue,
    private readonly random: Random,
  ) {
    this.retryBudget = RetryBudget.create({policy: policy.retryPolicy});
    this.balancer = BackendBalancer.create({
      failureDomain,
      random,
      policy: policy.serverPolicy,
      ejection: policy.ejectsServers
        ? {}
        : {maxEjectedShare: 0, consecutiveUnreachable: Infinity},
    });
    this.balancer.setEntryCount(entryCount);
    this.balancer.updateServers(
      [...engines.values()].map(({profile}) => profile),
    );
  }

  static create(
    policy: ServicePolicy,
    failureDomain: string,
    engines: ReadonlyMap<string, EngineModel>,
    concurrencyPerVersion: number,
    entryCount: number,
    events: EventQueue,
    random: Random,
  ): EntryModel {
    return new EntryModel(
      policy,
      failureDomain,
      engines,
      concurrencyPerVersion,
      entryCount,
      events,
      random,
    );
  }

  /** Handles a call from a caller. */
  accept(call: ServiceCall): void {
    const {nowMs} = this.events;
    const version = this.resolveVersion(call);
    if (version === undefined) {
      return call.onFailed(DEFAULT_RETRY_AFTER_MS * (0.5 + this.random()));
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
    this.retryBudget.recordFirstAttempt(nowMs);
    const {id, priority, deadlineMs} = call;
    const {action, rejections} = admission.offer(
      {id, priority, deadlineMs},
      nowMs,
    );
    for (const rejection of rejections) {
      this.fail(rejection.id, rejection.retryAfterMs);
    }
    if (action === 'dispatch') this.startAttempt(active);
  }

  /** Handles a caller that disconnects before its answer is complete. */
  cancel(id: string): void {
    const active = this.active.get(id);
    if (active === undefined) return;
    if (active.admission.cancel(id)) {
      this.active.delete(id);
      return;
    }
    if (!this.policy.cancelsAbandonedRequests) return;
    this.active.delete(id);
    const {serverId, admission} = active;
    if (serverId !== undefined) {
      this.engines.get(serverId)?.cancel(id);
      this.balancer.finish(serverId, {isFailure: false}, this.events.nowMs);
    }
    admission.abandon();
    this.dispatchReady(admission);
  }

  /** Stops the entry. All its calls fail and their engine tasks are cancelled. */
  crash(): void {
    this.isDown = true;
    for (const [id, {call, serverId}] of this.active) {
      if (serverId !== undefined) this.engines.get(serverId)?.cancel(id);
      call.onFailed(undefined);
    }
    this.active.clear();
  }

  private resolveVersion(call: ServiceCall): ModelVersion | undefined {
    if (!this.policy.usesFallbackVersions) return call.versions[0];
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
      policy: this.policy.admissionPolicy,
      initialConcurrency: this.concurrencyPerVersion,
      maxConcurrency: this.concurrencyPerVersion * 2,
    });
    this.admissions.set(key, admission);
    return admission;
  }

  private startAttempt(active: ActiveCall): void {
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
      this.fail(call.id, DEFAULT_RETRY_AFTER_MS * (0.5 + this.random()));
      return this.dispatchReady(active.admission);
    }
    active.serverId = serverId;
    active.attemptCount += 1;
    active.tried.add(serverId);
    if (active.attemptCount === 1) active.dispatchedMs = nowMs;
    const engine = this.engines.get(serverId) as EngineModel;
    const isLocal = engine.profile.failureDomain === this.failureDomain;
    this.dispatches += 1;
    if (!isLocal) this.crossDomainDispatches += 1;
    this.events.after(
      isLocal ? SAME_DOMAIN_DELAY_MS : CROSS_DOMAIN_DELAY_MS,
      () => this.send(active, engine),
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
      onAborted: () => {
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
    const decodeMs = nowMs - (active.firstTokenMs ?? nowMs);
    const tokenLatencyMs = decodeMs / call.answerTokens;
    this.active.delete(call.id);
    this.balancer.finish(
      active.serverId as string,
      {isFailure: false, tokenLatencyMs},
      nowMs,
    );
    const serviceMs = nowMs - dispatchedMs;
    admission.finish({serviceMs, firstTokenMs, wasRefused: false}, nowMs);
    call.onDone();
    this.dispatchReady(admission);
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
    if (refusal === undefined && this.retryBudget.tryTake(nowMs)) {
      active.serverId = undefined;
      return this.startAttempt(active);
    }
    const wasRefused = !isUnreachable;
    if (wasRefused) {
      admission.finish({serviceMs: 0, firstTokenMs: 0, wasRefused}, nowMs);
    } else {
      admission.abandon();
    }
    this.fail(call.id, DEFAULT_RETRY_AFTER_MS * (0.5 + this.random()));
    this.dispatchReady(admission);
  }

  private dispatchReady(admission: AdmissionController): void {
    const change = admission.takeReady(this.events.nowMs);
    for (const {id, retryAfterMs} of change.rejections) {
      this.fail(id, retryAfterMs);
    }
    for (const id of change.dispatched) {
      const active = this.active.get(id);
      if (active !== undefined) this.startAttempt(active);
      else admission.abandon();
    }
  }

  private fail(id: string, retryAfterMs: number): void {
    const active = this.active.get(id);
    if (active === undefined) return;
    this.active.delete(id);
    const usesRetryAfter = this.policy.admissionPolicy !== 'unbounded';
    active.call.onFailed(usesRetryAfter ? retryAfterMs : undefined);
  }
}
