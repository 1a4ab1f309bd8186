import type {Outcome} from '../targets/target.js';
import {LatencyRecorder, type LatencySummary} from './latency_recorder.js';

/** Counts of the requests whose intended send time is in one second. */
export interface TimelinePoint {
  readonly second: number;
  readonly sent: number;
  readonly ok: number;
  /** Number of responses by model version. */
  readonly byModelVersion: CountTable;
}

/**
 * Latencies measured from the intended send time, except `betweenTokens`, which
 * holds the gaps between consecutive tokens.
 */
export interface LoadLatencies {
  readonly firstToken: LatencySummary;
  readonly betweenTokens: LatencySummary;
  /** Until the end of a complete response to a generation request. */
  readonly whole: LatencySummary;
  /** Until the response to a successful service call. */
  readonly confirmation: LatencySummary;
  /**
   * From the intended to the actual send time. Large values mean that the load
   * tool itself was too slow.
   */
  readonly sendLag: LatencySummary;
}

/** Counts by name, such as by error code. */
export type CountTable = Readonly<Record<string, number>>;

/** Measured results of a run. */
export interface LoadMeasurement {
  readonly sent: number;
  /** Arrivals not sent because `maxInFlight` requests were in flight. */
  readonly skipped: number;
  readonly ok: number;
  readonly tokens: number;
  readonly byCode: CountTable;
  readonly byExecution: CountTable;
  readonly byKind: CountTable;
  readonly byModelVersion: CountTable;
  readonly byVerdict: CountTable;
  /**
   * Ids and verdicts of the first 50 requests whose response was incomplete,
   * belonged to another request or came from another version than its session.
   */
  readonly faultyRequests: readonly string[];
  readonly latencies: LoadLatencies;
  readonly timeline: readonly TimelinePoint[];
}

/** Times of one request, in milliseconds from the start of the run. */
export interface RequestTimes {
  readonly intendedMs: number;
  readonly endMs: number;
}

const MS_PER_S = 1000;
const MAX_FAULTY_REQUESTS = 50;

interface MutableTimelinePoint {
  sent: number;
  ok: number;
  readonly byModelVersion: Map<string, number>;
}

function increment(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}

function toSortedCountTable(counts: ReadonlyMap<string, number>): CountTable {
  const entries = [...counts].sort(([a], [b]) => a.localeCompare(b));
  return Object.fromEntries(entries);
}

/** Collects counts and latencies of the requests of one run. */
export class LoadRecorder {
  private sent = 0;
  private skipped = 0;
  private ok = 0;
  private tokens = 0;
  private readonly byCode = new Map<string, number>();
  private readonly byExecution = new Map<string, number>();
  private readonly byKind = new Map<string, number>();
  private readonly byModelVersion = new Map<string, number>();
  private readonly byVerdict = new Map<string, number>();
  private readonly faultyRequests: string[] = [];
  private readonly timelinePoints: MutableTimelinePoint[] = [];
  private readonly firstToken = LatencyRecorder.create();
  private readonly betweenTokens = LatencyRecorder.create();
  private readonly whole = LatencyRecorder.create();
  private readonly confirmation = LatencyRecorder.create();
  private readonly sendLag = LatencyRecorder.create();

  private constructor() {}

  static create(): LoadRecorder {
    return new LoadRecorder();
  }

  countSkipped(): void {
    this.skipped += 1;
  }

  recordSend(kind: string, intendedMs: number, sentMs: number): void {
    this.sent += 1;
    this.timelinePointAt(intendedMs).sent += 1;
    increment(this.byKind, kind);
    this.sendLag.record(sentMs - intendedMs);
  }

  recordFirstToken(latencyMs: number): void {
    this.firstToken.record(latencyMs);
  }

  recordTokenGap(gapMs: number): void {
    this.betweenTokens.record(gapMs);
  }

  recordGeneration(id: string, outcome: Outcome, times: RequestTimes): void {
    this.recordOutcome(outcome, times.intendedMs);
    if (outcome.code === 'ok')
      this.whole.record(times.endMs - times.intendedMs);
    if (outcome.modelVersion !== undefined) {
      increment(this.byModelVersion, outcome.modelVersion);
      const point = this.timelinePointAt(times.intendedMs);
      increment(point.byModelVersion, outcome.modelVersion);
    }
    if (outcome.verdict === undefined) return;
    increment(this.byVerdict, outcome.verdict);
    if (
      outcome.verdict === 'whole' ||
      this.faultyRequests.length >= MAX_FAULTY_REQUESTS
    ) {
      return;
    }
    this.faultyRequests.push(`${id}: ${outcome.verdict}`);
  }

  recordConfirmation(outcome: Outcome, times: RequestTimes): void {
    this.recordOutcome(outcome, times.intendedMs);
    if (outcome.code !== 'ok') return;
    this.confirmation.record(times.endMs - times.intendedMs);
  }

  measurement(): LoadMeasurement {
    return {
      sent: this.sent,
      skipped: this.skipped,
      ok: this.ok,
      tokens: this.tokens,
      byCode: toSortedCountTable(this.byCode),
      byExecution: toSortedCountTable(this.byExecution),
      byKind: toSortedCountTable(this.byKind),
      byModelVersion: toSortedCountTable(this.byModelVersion),
      byVerdict: toSortedCountTable(this.byVerdict),
      faultyRequests: [...this.faultyRequests],
      latencies: {
        firstToken: this.firstToken.summarize(),
        betweenTokens: this.betweenTokens.summarize(),
        whole: this.whole.summarize(),
        confirmation: this.confirmation.summarize(),
        sendLag: this.sendLag.summarize(),
      },
      timeline: this.timelinePoints.map(
        ({sent, ok, byModelVersion}, second) => ({
          second,
          sent,
          ok,
          byModelVersion: toSortedCountTable(byModelVersion),
        }),
      ),
    };
  }

  private recordOutcome(outcome: Outcome, intendedMs: number): void {
    increment(this.byCode, outcome.code);
    increment(this.byExecution, outcome.execution);
    this.tokens += outcome.tokenCount;
    if (outcome.code !== 'ok') return;
    this.ok += 1;
    this.timelinePointAt(intendedMs).ok += 1;
  }

  private timelinePointAt(intendedMs: number): MutableTimelinePoint {
    const second = Math.floor(intendedMs / MS_PER_S);
    while (this.timelinePoints.length <= second) {
      this.timelinePoints.push({sent: 0, ok: 0, byModelVersion: new Map()});
    }
    return this.timelinePoints[second];
  }
}
