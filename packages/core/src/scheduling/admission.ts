import {clamp} from '../utils/math.js';
import type {Random} from '../utils/random.js';
import {
  computeServedShares,
  FlowDemands,
  type FlowDemand,
} from './fair_share.js';
import {
  FirstEventForecaster,
  type FirstEventForecast,
  type ForecastInput,
  type OpenWait,
  type WaitEnd,
} from './forecast.js';
import {ModelPrice} from './model_price.js';

/** When capacity counts as scarce, and what is given up then. */
export interface LoadAdmissionOptions {
  /** Occupied share of the slots below which nothing is rejected. */
  readonly minOccupiedShare: number;
  /**
   * Pressure from which requests are rejected. The pressure is the wait in the
   * servers' queues relative to the time that the latency target leaves for it.
   */
  readonly rejectFrom: number;
  /** Pressure from which escalations cost more than usual. */
  readonly escalationPriceFrom: number;
}

/** Options that apply to what the settings leave out. */
export const DEFAULT_LOAD_ADMISSION: LoadAdmissionOptions = {
  minOccupiedShare: 0.5,
  rejectFrom: 0.3,
  escalationPriceFrom: 0.1,
};

/** A request that is about to be sent for the first time. */
export interface LoadRequest {
  readonly organisation: string;
  /** Kind of the request, such as its route. */
  readonly kind: string;
  readonly priority: number;
  /** Prefill time at the chosen server. */
  readonly workMs: number;
  /** Prefill time plus the backlog of the chosen server. */
  readonly rawMs: number;
  /** Part of the capacity of a server that the request uses up. */
  readonly costMs: number;
  /** Wait until the limit of the server allows the send. */
  readonly delayMs: number;
  /** Time left to meet the latency target. */
  readonly targetLeftMs: number;
  /** Time left until the request ends without an answer. */
  readonly remainingMs: number;
  /** Expected time from the first event to the end of the answer. */
  readonly restMs: number;
  /** Occupied share of the slots of the usable servers. */
  readonly occupiedShare: number;
}

/**
 * Why a request is rejected. `deadline`: no server can answer in time; `share`:
 * its flow has used its part of the scarce capacity.
 */
export type LoadRejectionReason = 'deadline' | 'share';

/** Whether to send a request. */
export interface LoadDecision {
  /** Undefined if the request is sent. */
  readonly rejection: LoadRejectionReason | undefined;
  /** Time after which the caller may come back, with jitter. */
  readonly retryAfterMs: number;
  readonly isScarce: boolean;
  readonly forecast: FirstEventForecast;
}

/** Backlog of the best server from which requests count as waiting there. */
const WAITING_BACKLOG_MS = 100;
/** Spreads below the mean at which a forecast is treated as a lower bound. */
const CERTAIN_SPREADS = 1.5;
/** Spreads below the mean of the wait from which the pressure is computed. */
const LIKELY_SPREADS = 0.5;
/** Least weight of the newest pressure; it grows with the time since the last. */
const MIN_PRESSURE_WEIGHT = 0.1;
const PRESSURE_HALF_LIFE_MS = 500;
/** A pressure without requests since is forgotten after this time. */
const PRESSURE_VALID_MS = 3000;
/** Increase of the pressure over `rejectFrom` that rejects all that may be. */
const PRESSURE_RANGE = 0.4;
const MAX_REJECTED_SHARE = 0.9;
const MIN_SLACK_SHARE = 0.25;
/** Weight of a flow relative to one of the next lower priority. */
const WEIGHT_PER_PRIORITY = 4;
const SHARES_VALID_MS = 50;
const RETRY_AFTER_JITTER = {min: 0.75, range: 0.5} as const;
const MIN_RETRY_AFTER_MS = 200;
/** Callers ignore a `Retry-After` over a third of their remaining time. */
const MAX_RETRY_AFTER_SHARE = 0.3;

interface Pressure {
  value: number;
  updatedMs: number;
}

/**
 * Decides for one service whether a request is sent, under a demand that
 * exceeds the capacity of its servers. All hosts see the same backlog, because
 * they announce their sends to each other, and reject the same share of their
 * own demand without further messages. The share grows with the forecast wait;
 * each priority is protected by rejecting requests of lower priorities and of
 * flows beyond their part first.
 */
export class LoadAdmission {
  readonly price: ModelPrice;
  private readonly forecaster = FirstEventForecaster.create();
  private readonly demands = FlowDemands.create();
  private readonly pressures = new Map<number, Pressure>();
  /** Served share minus what was served, by flow; at 1 a request is due. */
  private readonly credits = new Map<string, number>();
  private servedShares: ReadonlyMap<string, number> = new Map();
  private sharesUntilMs = -Infinity;

  private constructor(
    private readonly options: LoadAdmissionOptions,
    private readonly random: Random,
  ) {
    const {rejectFrom, escalationPriceFrom} = options;
    this.price = ModelPrice.create({
      riseFrom: escalationPriceFrom,
      stopLowAt: (escalationPriceFrom + rejectFrom) / 2,
      stopAllAt: rejectFrom,
    });
  }

  /**
   * @example
   * ```ts
   * const admission = LoadAdmission.create(DEFAULT_LOAD_ADMISSION, random);
   * const {rejection} = admission.decide(request, nowMs);
   * ```
   */
  static create(options: LoadAdmissionOptions, random: Random): LoadAdmission {
    return new LoadAdmission(options, random);
  }

  /** Decides on the first send of a request. */
  decide(request: LoadRequest, nowMs: number): LoadDecision {
    const forecast = this.forecaster.forecast(request, nowMs);
    const isScarce = this.isScarce(request, forecast);
    const key = `${request.organisation} ${request.kind}`;
    this.recordDemand(key, request, nowMs);
    const pressure = isScarce ? computePressure(request, forecast) : 0;
    this.updatePressure(request.priority, pressure, nowMs);
    const rejection = isScarce
      ? this.findRejection(key, request, forecast, nowMs)
      : undefined;
    const retryAfterMs =
      rejection === undefined ? 0 : this.computeRetryAfterMs(request, forecast);
    return {rejection, retryAfterMs, isScarce, forecast};
  }

  /** Forecasts the time to the first event of a send. */
  forecast(input: ForecastInput, nowMs: number): FirstEventForecast {
    return this.forecaster.forecast(input, nowMs);
  }

  /** Records any send, retries and escalations included. */
  beginWait(wait: OpenWait): void {
    this.forecaster.begin(wait);
  }

  /** Records the first event of a send, or its end without one. */
  endWait(wait: OpenWait, end: WaitEnd, nowMs: number): void {
    this.forecaster.end(wait, end, nowMs);
  }

  // A backlog counts only as far as recent first events, or requests that still
  // wait, show it: an estimate of too much work per request outlasts the load.
  private isScarce(
    {occupiedShare, rawMs, workMs}: LoadRequest,
    {meanMs, idleMs, observedMs}: FirstEventForecast,
  ): boolean {
    const waitMs = Math.min(
      rawMs - workMs,
      meanMs - idleMs,
      observedMs - workMs,
    );
    return (
      occupiedShare >= this.options.minOccupiedShare ||
      waitMs >= WAITING_BACKLOG_MS
    );
  }

  private findRejection(
    key: string,
    request: LoadRequest,
    forecast: FirstEventForecast,
    nowMs: number,
  ): LoadRejectionReason | undefined {
    const {meanMs, spreadMs, idleMs} = forecast;
    const earliestMs = Math.max(idleMs, meanMs - CERTAIN_SPREADS * spreadMs);
    const {delayMs, restMs, remainingMs} = request;
    if (delayMs + earliestMs + restMs > remainingMs) return 'deadline';
    return this.takeTurn(key, nowMs) ? undefined : 'share';
  }

  /** Serves the requests of a flow evenly at its share. */
  private takeTurn(key: string, nowMs: number): boolean {
    if (nowMs >= this.sharesUntilMs) this.updateShares(nowMs);
    const share = this.servedShares.get(key);
    if (share === undefined) return true;
    const credit = (this.credits.get(key) ?? this.random()) + share;
    const isServed = credit >= 1;
    this.credits.set(key, isServed ? credit - 1 : credit);
    return isServed;
  }

  private updateShares(nowMs: number): void {
    this.sharesUntilMs = nowMs + SHARES_VALID_MS;
    const flows = this.demands.list(nowMs);
    const capacity = flows.reduce(
      (sum, {priority, demand}) =>
        sum + demand * (1 - this.computeRejectedShare(priority, nowMs)),
      0,
    );
    this.servedShares = computeServedShares(flows, capacity);
    for (const key of this.credits.keys()) {
      if (!this.servedShares.has(key)) this.credits.delete(key);
    }
  }

  /** Computes the share of a priority's work that exceeds the capacity. */
  private computeRejectedShare(priority: number, nowMs: number): number {
    const excess = this.readPressure(priority, nowMs) - this.options.rejectFrom;
    return clamp(excess / PRESSURE_RANGE, 0, MAX_REJECTED_SHARE);
  }

  private recordDemand(key: string, request: LoadRequest, nowMs: number): void {
    const {priority, costMs} = request;
    const weight = WEIGHT_PER_PRIORITY ** -priority;
    const flow: Omit<FlowDemand, 'demand'> = {key, weight, priority};
    this.demands.record(flow, Math.max(1, costMs), nowMs);
  }

  private updatePressure(
    priority: number,
    pressure: number,
    nowMs: number,
  ): void {
    const known = this.pressures.get(priority);
    const current = known?.value ?? 0;
    const gapMs = nowMs - (known?.updatedMs ?? -Infinity);
    const kept =
      (1 - MIN_PRESSURE_WEIGHT) * 0.5 ** (gapMs / PRESSURE_HALF_LIFE_MS);
    const value = pressure + kept * (current - pressure);
    this.pressures.set(priority, {value, updatedMs: nowMs});
    this.price.update(value, nowMs);
  }

  private readPressure(priority: number, nowMs: number): number {
    const known = this.pressures.get(priority);
    if (known === undefined) return 0;
    return nowMs - known.updatedMs < PRESSURE_VALID_MS ? known.value : 0;
  }

  private computeRetryAfterMs(
    {remainingMs}: LoadRequest,
    {meanMs, idleMs}: FirstEventForecast,
  ): number {
    const {min, range} = RETRY_AFTER_JITTER;
    const jitter = min + range * this.random();
    const waitMs = Math.max(MIN_RETRY_AFTER_MS, meanMs - idleMs) * jitter;
    // Jitter below the bound too, as many requests may be at the bound.
    const maxMs =
      (MAX_RETRY_AFTER_SHARE * remainingMs * jitter) / (min + range);
    return Math.max(0, Math.min(waitMs, maxMs));
  }
}

/** Computes the forecast wait relative to what the latency target leaves. */
function computePressure(
  {targetLeftMs, delayMs}: LoadRequest,
  {meanMs, spreadMs, idleMs}: FirstEventForecast,
): number {
  const waitMs = Math.max(0, meanMs - LIKELY_SPREADS * spreadMs - idleMs);
  const slackMs = Math.max(
    targetLeftMs - idleMs,
    MIN_SLACK_SHARE * targetLeftMs,
    1,
  );
  return (waitMs + delayMs) / slackMs;
}
