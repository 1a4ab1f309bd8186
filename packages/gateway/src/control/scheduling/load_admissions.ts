import {
  LoadAdmission,
  type LoadAdmissionOptions,
  type LoadDecision,
  type LoadRequest,
  type OpenWait,
  type Random,
  type WaitEnd,
} from '@anvilrudder/core';
import type {Logger, MetricRegistry} from '@anvilrudder/observability';

/** Dependencies of {@link LoadAdmissions}. */
export interface LoadAdmissionsOptions {
  readonly admission: LoadAdmissionOptions;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: MetricRegistry;
}

/** What the log tells of a decision. */
export interface DecisionSubject {
  readonly request: string | undefined;
  readonly service: string;
  /** Time since another host announced work at the chosen server. */
  readonly stateAgeMs: number;
}

const MAX_LINES_PER_S = 5;
const MS_PER_S = 1000;

/** Upper bounds of the age classes by which the forecast error is measured. */
const AGE_CLASSES: readonly (readonly [number, string])[] = [
  [100, 'under100ms'],
  [1000, 'under1s'],
  [Infinity, 'over1s'],
];

/**
 * Decides on requests under load, for each service, and records the decisions.
 * The state is that of this host only; hosts exchange nothing for it besides the
 * work that they announce for the placement.
 */
export class LoadAdmissions {
  private readonly admissions = new Map<string, LoadAdmission>();
  private lineWindow = -Infinity;
  private lineCount = 0;
  private suppressedCount = 0;

  private constructor(private readonly options: LoadAdmissionsOptions) {}

  /**
   * @example
   * ```ts
   * const loadAdmissions = LoadAdmissions.create(options);
   * const {rejection} = loadAdmissions.decide(subject, request, nowMs);
   * ```
   */
  static create(options: LoadAdmissionsOptions): LoadAdmissions {
    return new LoadAdmissions(options);
  }

  /** Decides on the first send of a request. */
  decide(
    subject: DecisionSubject,
    request: LoadRequest,
    nowMs: number,
  ): LoadDecision {
    const decision = this.get(subject.service).decide(request, nowMs);
    const {rejection, isScarce} = decision;
    if (isScarce) {
      const {organisation} = request;
      const outcome = rejection === undefined ? 'sent' : 'rejected';
      this.options.metrics.count('scarce_requests_total', {
        organisation,
        outcome,
      });
    }
    if (rejection !== undefined)
      this.recordRejection(subject, request, decision, nowMs);
    return decision;
  }

  /** Returns the price of capacity for escalations; 0 without scarcity. */
  readPrice(service: string, priority: number, nowMs: number): number {
    return this.admissions.get(service)?.price.read(priority, nowMs) ?? 0;
  }

  /**
   * Records a send.
   *
   * @returns records the first event, or the end without one; only the first
   *     call counts.
   */
  beginWait(
    service: string,
    wait: OpenWait,
    stateAgeMs: number,
  ): (end: WaitEnd) => void {
    const admission = this.get(service);
    const {meanMs} = admission.forecast(wait, wait.sentMs);
    admission.beginWait(wait);
    let isWaiting = true;
    return end => {
      if (!isWaiting) return;
      isWaiting = false;
      const nowMs = performance.now();
      admission.endWait(wait, end, nowMs);
      if (end !== 'answered') return;
      const errorMs = Math.abs(nowMs - wait.sentMs - meanMs);
      const age = findAgeClass(stateAgeMs);
      this.options.metrics.recordMs('forecast_error_seconds', {age}, errorMs);
    };
  }

  private get(service: string): LoadAdmission {
    const known = this.admissions.get(service);
    if (known !== undefined) return known;
    const {admission: options, random} = this.options;
    const admission = LoadAdmission.create(options, random);
    this.admissions.set(service, admission);
    return admission;
  }

  private recordRejection(
    {request, service, stateAgeMs}: DecisionSubject,
    {organisation, kind, priority, occupiedShare}: LoadRequest,
    {rejection, forecast, retryAfterMs}: LoadDecision,
    nowMs: number,
  ): void {
    const {logger, metrics} = this.options;
    metrics.count('requests_rejected_by_load_total', {
      reason: rejection ?? '',
      priority: String(priority),
    });
    if (!this.mayLog(nowMs)) {
      this.suppressedCount += 1;
      return;
    }
    logger.info('request_rejected_by_load', {
      request,
      service,
      reason: rejection,
      organisation,
      route: kind,
      priority,
      forecastMs: Math.round(forecast.meanMs),
      spreadMs: Math.round(forecast.spreadMs),
      stateAgeMs: Number.isFinite(stateAgeMs)
        ? Math.round(stateAgeMs)
        : undefined,
      occupied: occupiedShare.toFixed(2),
      retryAfterMs: Math.round(retryAfterMs),
      suppressed: this.suppressedCount || undefined,
    });
    this.suppressedCount = 0;
  }

  private mayLog(nowMs: number): boolean {
    const window = Math.floor(nowMs / MS_PER_S);
    if (window !== this.lineWindow) this.lineCount = 0;
    this.lineWindow = window;
    this.lineCount += 1;
    return this.lineCount <= MAX_LINES_PER_S;
  }
}

function findAgeClass(ageMs: number): string {
  const found = AGE_CLASSES.find(([maxMs]) => ageMs < maxMs);
  return found?.[1] ?? 'none';
}
