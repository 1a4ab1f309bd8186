import {build, type Histogram} from 'hdr-histogram-js';

/** The latency at one percentile of the distribution. */
export interface PercentilePoint {
  readonly percentile: number;
  readonly latencyMs: number;
}

/** Summary statistics of the recorded latencies; all 0 without any. */
export interface LatencySummary {
  readonly count: number;
  readonly meanMs: number;
  readonly p50Ms: number;
  readonly p90Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  readonly maxMs: number;
  readonly curve: readonly PercentilePoint[];
}

const US_PER_MS = 1000;
const MAX_TRACKABLE_US = 3_600_000_000;
const CURVE_PERCENTILES: readonly number[] = [
  1, 5, 10, 20, 30, 40, 50, 60, 70, 75, 80, 85, 90, 92.5, 95, 97.5, 98, 99,
  99.5, 99.9, 99.95, 99.99, 100,
];

/**
 * Records latencies in a histogram with a precision of three significant
 * digits. Latencies above an hour are recorded as an hour.
 */
export class LatencyRecorder {
  private readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_TRACKABLE_US,
    numberOfSignificantValueDigits: 3,
  });

  private constructor() {}

  static create(): LatencyRecorder {
    return new LatencyRecorder();
  }

  record(latencyMs: number): void {
    const us = Math.round(Math.max(0, latencyMs) * US_PER_MS);
    this.histogram.recordValue(Math.min(us, MAX_TRACKABLE_US));
  }

  summarize(): LatencySummary {
    const {histogram} = this;
    const latencyAt = (percentile: number) =>
      histogram.totalCount === 0
        ? 0
        : histogram.getValueAtPercentile(percentile) / US_PER_MS;
    return {
      count: histogram.totalCount,
      meanMs: histogram.totalCount === 0 ? 0 : histogram.mean / US_PER_MS,
      p50Ms: latencyAt(50),
      p90Ms: latencyAt(90),
      p95Ms: latencyAt(95),
      p99Ms: latencyAt(99),
      p999Ms: latencyAt(99.9),
      maxMs: latencyAt(100),
      curve: CURVE_PERCENTILES.map(percentile => ({
        percentile,
        latencyMs: latencyAt(percentile),
      })),
    };
  }
}
