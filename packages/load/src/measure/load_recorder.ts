import type {Outcome} from '../targets/target.js';
import {LatencyRecorder, type LatencySummary} from './latency_recorder.js';

/** Requests by the second of their intended send time. */
export interface TimelinePoint {
  readonly second: number;
  readonly sent: number;
  readonly ok: number;
  /** Answers by the model version that gave them. */
  readonly byModelVersion: CountTable;
}

/** Latencies from the intended send time, but the gaps between tokens. */
export interface LoadLatencies {
  readonly firstToken: LatencySummary;
  readonly betweenTokens: LatencySummary;
  readonly whole: LatencySummary;
  readonly confirmation: LatencySummary;
  /** From the intended send time to the real one; large values are the tool's. */
  readonly sendLag: LatencySummary;
}

/** A count by a name, such as an error code. */
export type CountTable = Readonly<Record<string, number>>;

/** What a run measured. */
export interface LoadMeasurement {
  readonly sent: number;
  /** Arrivals that the tool did not send for its limit of open requests. */
  readonly skipped: number;
  readonly ok: number;
  readonly tokens: number;
  readonly byCode: CountTable;
  readonly byExecution: CountTable;
  readonly byKind: CountTable;
  readonly byModelVersion: CountTable;
  readonly byVerdict: CountTable;
  /** Requests whose answer was not whole or not its own, the first ones. */
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
const FAULTY_LIMIT = 50;

interface MutablePoint {
  sent: number;
  ok: number;
  readonly byModelVersion: Map<string, number>;
}

function increment(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}

function toTable(counts: ReadonlyMap<string, number>): CountTable {
  const entries = [...counts].sort(([a], [b]) => a.localeCompare(b));
  return Object.fromEntries(entries);
}

/** Counts and measures the requests of one run. */
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
  private readonly faulty: string[] = [];
  private readonly points: MutablePoint[] = [];
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
    this.pointAt(intendedMs).sent += 1;
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
      const point = this.pointAt(times.intendedMs);
      increment(point.byModelVersion, outcome.modelVersion);
    }
    if (outcome.verdict === undefined) return;
    increment(this.byVerdict, outcome.verdict);
    if (outcome.verdict === 'whole' || this.faulty.length >= FAULTY_LIMIT) {
      return;
    }
    this.faulty.push(`${id}: ${outcome.verdict}`);
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
      byCode: toTable(this.byCode),
      byExecution: toTable(this.byExecution),
      byKind: toTable(this.byKind),
      byModelVersion: toTable(this.byModelVersion),
      byVerdict: toTable(this.byVerdict),
      faultyRequests: [...this.faulty],
      latencies: {
        firstToken: this.firstToken.summarize(),
        betweenTokens: this.betweenTokens.summarize(),
        whole: this.whole.summarize(),
        confirmation: this.confirmation.summarize(),
        sendLag: this.sendLag.summarize(),
      },
      timeline: this.points.map(({sent, ok, byModelVersion}, second) => ({
        second,
        sent,
        ok,
        byModelVersion: toTable(byModelVersion),
      })),
    };
  }

  private recordOutcome(outcome: Outcome, intendedMs: number): void {
    increment(this.byCode, outcome.code);
    increment(this.byExecution, outcome.execution);
    this.tokens += outcome.tokenCount;
    if (outcome.code !== 'ok') return;
    this.ok += 1;
    this.pointAt(intendedMs).ok += 1;
  }

  private pointAt(intendedMs: number): MutablePoint {
    const second = Math.floor(intendedMs / MS_PER_S);
    while (this.points.length <= second) {
      this.points.push({sent: 0, ok: 0, byModelVersion: new Map()});
    }
    return this.points[second];
  }
}
