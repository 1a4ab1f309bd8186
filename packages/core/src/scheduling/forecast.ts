import {clamp} from '../utils/math.js';

/** Input of a forecast of the time to the first event. */
export interface ForecastInput {
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Prefill time of the request at the chosen server. */
  readonly workMs: number;
  /** Prefill time plus the backlog of the server, as known to this host. */
  readonly rawMs: number;
}

/** Forecast of the time from a send to the first event. */
export interface FirstEventForecast {
  readonly meanMs: number;
  /** Mean distance of the actual time from `meanMs`. */
  readonly spreadMs: number;
  /** The time at a server without other work. */
  readonly idleMs: number;
  /** Recent times of the priority, or the age of its requests that still wait. */
  readonly observedMs: number;
}

/** A send that has no first event yet. */
export interface OpenWait extends ForecastInput {
  readonly sentMs: number;
  /** Whether capacity was scarce when the request was sent. */
  readonly isScarce: boolean;
}

/** How the wait for a first event ended; `left`: without one. */
export type WaitEnd = 'answered' | 'left';

/** Time to the first event that does not depend on prefill work. */
const BASE_MS = 50;
/** Least weight of the newest time; it grows with the time since the last one. */
const MIN_WEIGHT = 0.1;
const WEIGHT_HALF_LIFE_MS = 1000;
const IDLE_WEIGHT = 0.02;
const SPREAD_WEIGHT = 0.1;
const INITIAL_SPREAD_SHARE = 0.5;
const RATIO_RANGE = {min: 0.05, max: 20} as const;
/**
 * Time in which what was learned under load loses half of its effect. Without
 * it, a host that rejects all requests would learn no new times.
 */
const FORGET_HALF_LIFE_MS = 1000;

/** Moving averages of actual and forecast times; their quotient corrects. */
interface TimeRatio {
  actualMs: number;
  forecastMs: number;
}

interface PriorityState {
  readonly ratio: TimeRatio;
  spreadShare: number;
  observedMs: number;
  openCount: number;
  openSentSumMs: number;
}

/**
 * Forecasts the time to the first event of the requests to one service. Engines
 * let urgent requests pass others, and decoding requests occupy slots, so that
 * the backlog of prefill work alone says too much for a high priority and too
 * little for a low one when load is high. The ratio of actual to forecast times
 * is learned for each priority. Requests that still wait count with the time
 * that they have waited, because under overload a first event tells of a queue
 * that was joined seconds ago.
 */
export class FirstEventForecaster {
  private readonly priorities = new Map<number, PriorityState>();
  private readonly idle: TimeRatio = {actualMs: BASE_MS, forecastMs: BASE_MS};

  private constructor() {}

  /**
   * @example
   * ```ts
   * const forecaster = FirstEventForecaster.create();
   * forecaster.forecast({priority: 1, workMs: 80, rawMs: 300}, nowMs).meanMs;
   * ```
   */
  static create(): FirstEventForecaster {
    return new FirstEventForecaster();
  }

  forecast(
    {priority, workMs, rawMs}: ForecastInput,
    nowMs: number,
  ): FirstEventForecast {
    const state = this.priorities.get(priority);
    const idleRatio = readRatio(this.idle);
    const forecastMs = rawMs + BASE_MS;
    const ratio = this.readLearnedRatio(state, nowMs);
    const meanMs = Math.max(
      forecastMs * Math.min(1, ratio),
      state === undefined ? 0 : readObservedMs(state, ratio > 1, nowMs),
    );
    const spreadShare = state?.spreadShare ?? INITIAL_SPREAD_SHARE;
    const idleMs = Math.min(meanMs, (workMs + BASE_MS) * idleRatio);
    const observedMs =
      state === undefined ? 0 : readObservedMs(state, true, nowMs);
    return {meanMs, spreadMs: meanMs * spreadShare, idleMs, observedMs};
  }

  /** Records a send; call {@link end} with the same value once. */
  begin(wait: OpenWait): void {
    this.addOpen(wait, 1);
  }

  /** Records the first event of a send, or its end without one. */
  end(wait: OpenWait, end: WaitEnd, nowMs: number): void {
    this.addOpen(wait, -1);
    const elapsedMs = nowMs - wait.sentMs;
    const {meanMs} = this.forecast(wait, nowMs);
    // The time of a request that ended without an event is a lower bound.
    if (end === 'left' && elapsedMs <= meanMs) return;
    const state = this.getOrCreate(wait.priority, nowMs);
    const errorShare = Math.min(1, Math.abs(elapsedMs - meanMs) / meanMs);
    state.spreadShare += SPREAD_WEIGHT * (errorShare - state.spreadShare);
    const gap = 0.5 ** ((nowMs - state.observedMs) / WEIGHT_HALF_LIFE_MS);
    const weight = 1 - (1 - MIN_WEIGHT) * gap;
    updateRatio(state.ratio, wait.rawMs, elapsedMs, weight);
    state.observedMs = nowMs;
    if (!wait.isScarce)
      updateRatio(this.idle, wait.rawMs, elapsedMs, IDLE_WEIGHT);
  }

  private addOpen({priority, sentMs}: OpenWait, sign: 1 | -1): void {
    const state = this.getOrCreate(priority, sentMs);
    state.openCount += sign;
    state.openSentSumMs += sign * sentMs;
  }

  private getOrCreate(priority: number, nowMs: number): PriorityState {
    const known = this.priorities.get(priority);
    if (known !== undefined) return known;
    const state = {
      ratio: {...this.idle},
      spreadShare: INITIAL_SPREAD_SHARE,
      observedMs: nowMs,
      openCount: 0,
      openSentSumMs: 0,
    };
    this.priorities.set(priority, state);
    return state;
  }

  private readLearnedRatio(
    state: PriorityState | undefined,
    nowMs: number,
  ): number {
    const idleRatio = readRatio(this.idle);
    if (state === undefined) return idleRatio;
    const remembered = readRemembered(state, nowMs);
    return idleRatio * (readRatio(state.ratio) / idleRatio) ** remembered;
  }
}

function readRemembered({observedMs}: PriorityState, nowMs: number): number {
  return 0.5 ** ((nowMs - observedMs) / FORGET_HALF_LIFE_MS);
}

/**
 * Returns the recent time to a first event, or the mean age of the requests that
 * still wait if that is more. It is not scaled with the
 * size of a request: a wait for a slot does not depend on it, and an error in the
 * time per token is corrected where that time is learned.
 */
function readObservedMs(
  state: PriorityState,
  countsRecent: boolean,
  nowMs: number,
): number {
  const {openCount, openSentSumMs} = state;
  const openAgeMs = openCount === 0 ? 0 : nowMs - openSentSumMs / openCount;
  const recentMs = countsRecent
    ? state.ratio.actualMs * readRemembered(state, nowMs)
    : 0;
  return Math.max(openAgeMs, recentMs);
}

function readRatio({actualMs, forecastMs}: TimeRatio): number {
  return clamp(actualMs / forecastMs, RATIO_RANGE.min, RATIO_RANGE.max);
}

function updateRatio(
  ratio: TimeRatio,
  rawMs: number,
  elapsedMs: number,
  weight: number,
): void {
  ratio.actualMs += weight * (elapsedMs - ratio.actualMs);
  ratio.forecastMs += weight * (rawMs + BASE_MS - ratio.forecastMs);
}
