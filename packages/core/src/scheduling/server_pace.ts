import {clamp, computeQuantile} from '../utils/math.js';

/** What a host has observed of the pace of a server. */
export interface PaceObservation {
  readonly serverId: string;
  /** Logarithm of the time of a request over that of a server of mean pace. */
  readonly logPace: number;
}

/** Smallest observation of a short time. */
interface PaceBin {
  readonly beganMs: number;
  logPace: number;
}

/** Observations of this time count as one, so that a short slow period stays few. */
const BIN_MS = 200;
/** Older observations are dropped, as long as MIN_BIN_COUNT newer ones exist. */
const WINDOW_MS = 4000;
/**
 * Queues and slow periods lengthen times and nothing shortens them, so that the
 * lower ones are closest to the pace.
 */
const TRACKED_QUANTILE = 0.25;
/** With fewer bins, the estimate is moved towards the mean pace. */
const MIN_BIN_COUNT = 5;
/**
 * Without observations, the logarithm of the estimate halves in this time, so
 * that a server which was slow gets requests, and is observed, again.
 */
const HALF_LIFE_MS = 20_000;
/** Times beyond this range say more about queues than about a server. */
const MAX_LOG_PACE = Math.log(4);

/**
 * Estimates the pace of one server: its time for the same work over that of a
 * server of mean pace. It is the median over the last seconds, so that servers
 * which are several times slower for some hundred milliseconds keep their
 * estimate, while a lasting change is followed within two to three seconds.
 * Addresses fleets in which some servers are lastingly slower than others.
 *
 * @example
 * ```ts
 * const pace = ServerPace.create();
 * pace.observe(Math.log(1.7), nowMs);
 * pace.estimate(nowMs); // between 1 and 1.7
 * ```
 */
export class ServerPace {
  private readonly bins: PaceBin[] = [];
  private pace = 1;
  private observedMs = -Infinity;

  private constructor() {}

  static create(): ServerPace {
    return new ServerPace();
  }

  /** @param logPace logarithm of the time of a request over the expected one. */
  observe(logPace: number, nowMs: number): void {
    if (!Number.isFinite(logPace)) return;
    const limited = clamp(logPace, -MAX_LOG_PACE, MAX_LOG_PACE);
    this.observedMs = nowMs;
    this.addToBin(limited, nowMs);
    this.dropOldBins(nowMs);
    this.pace = Math.exp(computeLogPace(this.bins));
  }

  /** Returns 1 for a server of mean pace, 2 for one that takes twice as long. */
  estimate(nowMs: number): number {
    const excessMs = nowMs - this.observedMs - WINDOW_MS;
    return excessMs <= 0
      ? this.pace
      : this.pace ** (0.5 ** (excessMs / HALF_LIFE_MS));
  }

  private addToBin(logPace: number, nowMs: number): void {
    const last = this.bins.at(-1);
    if (last !== undefined && nowMs - last.beganMs < BIN_MS) {
      last.logPace = Math.min(last.logPace, logPace);
      return;
    }
    this.bins.push({beganMs: nowMs, logPace});
  }

  private dropOldBins(nowMs: number): void {
    while (
      this.bins.length > MIN_BIN_COUNT &&
      nowMs - this.bins[0].beganMs > WINDOW_MS
    ) {
      this.bins.shift();
    }
  }
}

function computeLogPace(bins: readonly PaceBin[]): number {
  const sorted = bins.map(({logPace}) => logPace).sort((a, b) => a - b);
  const confidence = Math.min(1, sorted.length / MIN_BIN_COUNT);
  return computeQuantile(sorted, TRACKED_QUANTILE) * confidence;
}

/** A request whose time says something about the pace of its server. */
export interface PacedRequest {
  readonly serverId: string;
  /** Requests with the same key take the same time at servers of the same pace. */
  readonly key: string;
  readonly elapsedMs: number;
  /** Expected time at a server of mean pace, including the work before it. */
  readonly expectedMs: number;
}

/** Shorter expected times are too imprecise for a comparison. */
const MIN_EXPECTED_MS = 5;
/** Step by which the typical logarithm of a key follows the observed ones. */
const TYPICAL_STEP = 0.02;
/** Observations kept for other hosts until a message takes them along. */
const MAX_UNREPORTED = 4;
const MAX_KEYS = 1000;

function stepToQuantile(typical: number, observed: number): number {
  return observed < typical
    ? typical - TYPICAL_STEP * (1 - TRACKED_QUANTILE)
    : typical + TYPICAL_STEP * TRACKED_QUANTILE;
}

/**
 * Compares the times of requests with those of requests with the same key at
 * all servers, and keeps the newest observations for the other hosts. Expected
 * times may be wrong by a factor, as it is the same for all servers.
 *
 * @example
 * ```ts
 * const paces = PaceObserver.create();
 * const observation = paces.observe({
 *   serverId: 'i-1',
 *   key: 'small',
 *   elapsedMs: 120,
 *   expectedMs: 80,
 * });
 * ```
 */
export class PaceObserver {
  /** Typical logarithm of the actual over the expected time, by key. */
  private readonly typicalLogs = new Map<string, number>();
  private unreported: PaceObservation[] = [];

  private constructor() {}

  static create(): PaceObserver {
    return new PaceObserver();
  }

  /** Returns undefined if the request says nothing about its server. */
  observe(request: PacedRequest): PaceObservation | undefined {
    const {serverId, key, elapsedMs, expectedMs} = request;
    if (!(expectedMs >= MIN_EXPECTED_MS) || !(elapsedMs > 0)) return undefined;
    const log = Math.log(elapsedMs / expectedMs);
    const typical = this.typicalLogs.get(key) ?? log;
    if (this.typicalLogs.size < MAX_KEYS || this.typicalLogs.has(key)) {
      this.typicalLogs.set(key, stepToQuantile(typical, log));
    }
    const observation = {serverId, logPace: log - typical};
    this.unreported.push(observation);
    if (this.unreported.length > MAX_UNREPORTED) this.unreported.shift();
    return observation;
  }

  /** Returns and forgets the observations that no message has taken along. */
  takeUnreported(): readonly PaceObservation[] {
    const {unreported} = this;
    if (unreported.length > 0) this.unreported = [];
    return unreported;
  }
}
