import * as hdr from 'hdr-histogram-js';

/** Labels of one time series. */
export type MetricLabels = Readonly<Record<string, string>>;

const HIGHEST_VALUE_US = 3_600_000_000;
const SIGNIFICANT_DIGITS = 3;
const MS_PER_S = 1000;
const US_PER_MS = 1000;
const US_PER_S = 1_000_000;
const QUANTILES: readonly number[] = [0.5, 0.95, 0.99, 0.999];

interface CounterSeries {
  readonly labels: string;
  value: number;
}

interface HistogramSeries {
  readonly labels: MetricLabels;
  readonly histogram: hdr.Histogram;
  sumUs: number;
}

/**
 * Counters, gauges and latency histograms, written in the Prometheus text
 * exposition format. Histograms are exposed as summaries in seconds.
 *
 * @example
 * ```ts
 * const metrics = MetricRegistry.create();
 * metrics.count('requests_total', {code: 'ok'});
 * metrics.recordMs('first_token_seconds', {}, 12.5);
 * ```
 */
export class MetricRegistry {
  private readonly counters = new Map<string, Map<string, CounterSeries>>();
  private readonly gauges = new Map<string, () => number>();
  private readonly histograms = new Map<string, Map<string, HistogramSeries>>();

  private constructor() {}

  static create(): MetricRegistry {
    return new MetricRegistry();
  }

  /** Increments a counter. */
  count(name: string, labels: MetricLabels = {}, amount = 1): void {
    const key = formatLabels(labels);
    const family = getOrCreate(this.counters, name, () => new Map());
    const series = getOrCreate(family, key, () => ({labels: key, value: 0}));
    series.value += amount;
  }

  /** Returns the value of a counter; 0 if it was never incremented. */
  readCounter(name: string, labels: MetricLabels = {}): number {
    return this.counters.get(name)?.get(formatLabels(labels))?.value ?? 0;
  }

  /** Registers a gauge whose value is read for each exposition. */
  registerGauge(name: string, read: () => number): void {
    this.gauges.set(name, read);
  }

  /** Records a duration given in milliseconds. */
  recordMs(name: string, labels: MetricLabels, durationMs: number): void {
    const family = getOrCreate(this.histograms, name, () => new Map());
    const series = getOrCreate(family, formatLabels(labels), () => ({
      labels,
      histogram: createHistogram(),
      sumUs: 0,
    }));
    const valueUs = Math.max(0, Math.round(durationMs * US_PER_MS));
    series.histogram.recordValue(Math.min(valueUs, HIGHEST_VALUE_US));
    series.sumUs += valueUs;
  }

  /**
   * Returns a percentile in milliseconds over all series of a histogram, or
   * undefined if nothing was recorded.
   *
   * @param percentile from 0 to 100.
   */
  readPercentileMs(name: string, percentile: number): number | undefined {
    const family = this.histograms.get(name);
    if (family === undefined) return undefined;
    const merged = createHistogram();
    for (const series of family.values()) merged.add(series.histogram);
    return merged.getValueAtPercentile(percentile) / US_PER_MS;
  }

  /** Returns all metrics in the text exposition format. */
  formatText(): string {
    const lines: string[] = [];
    for (const [name, family] of this.counters) {
      lines.push(`# TYPE anvilrudder_${name} counter`);
      for (const series of family.values()) {
        lines.push(`anvilrudder_${name}${series.labels} ${series.value}`);
      }
    }
    for (const [name, read] of this.gauges) {
      lines.push(`# TYPE anvilrudder_${name} gauge`);
      lines.push(`anvilrudder_${name} ${read()}`);
    }
    for (const [name, family] of this.histograms) {
      lines.push(`# TYPE anvilrudder_${name} summary`);
      for (const series of family.values()) {
        lines.push(...formatSummary(name, series));
      }
    }
    return `${lines.join('\n')}\n`;
  }
}

function createHistogram(): hdr.Histogram {
  return hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_VALUE_US,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    bitBucketSize: 'packed',
  });
}

function formatSummary(name: string, series: HistogramSeries): string[] {
  const lines = QUANTILES.map(quantile => {
    const valueUs = series.histogram.getValueAtPercentile(quantile * 100);
    const labels = formatLabels({
      ...series.labels,
      quantile: String(quantile),
    });
    return `anvilrudder_${name}${labels} ${valueUs / US_PER_S}`;
  });
  const labels = formatLabels(series.labels);
  lines.push(`anvilrudder_${name}_sum${labels} ${series.sumUs / US_PER_S}`);
  lines.push(
    `anvilrudder_${name}_count${labels} ${series.histogram.totalCount}`,
  );
  return lines;
}

function formatLabels(labels: MetricLabels): string {
  const entries = Object.entries(labels);
  if (entries.length === 0) return '';
  const parts = entries.map(
    ([key, value]) => `${key}=${JSON.stringify(value)}`,
  );
  return `{${parts.join(',')}}`;
}

function getOrCreate<K, V>(map: Map<K, V>, key: K, create: () => V): V {
  let value = map.get(key);
  if (value === undefined) {
    value = create();
    map.set(key, value);
  }
  return value;
}

/** Converts milliseconds to seconds, rounded up to an integer of at least 1. */
export function toRetryAfterSeconds(durationMs: number): number {
  return Math.max(1, Math.ceil(durationMs / MS_PER_S));
}
