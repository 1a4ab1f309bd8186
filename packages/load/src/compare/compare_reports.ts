import type {LatencySummary} from '../measure/latency_recorder.js';
import {formatNumber, formatTable} from '../report/table.js';
import type {LatencyName} from '../report/write_report.js';
import type {LoadReport} from '../run/run_load.js';

/** Values of one measure in a direct run and in a run through entries. */
export interface ComparisonRow {
  readonly measure: string;
  readonly direct: number;
  readonly entry: number;
  /** `entry / direct`; 0 when `direct` is 0. */
  readonly ratio: number;
  /** `entry - direct`. */
  readonly difference: number;
}

type PercentileField = 'p50Ms' | 'p95Ms' | 'p99Ms';

const LATENCY_NAMES: readonly LatencyName[] = [
  'firstToken',
  'betweenTokens',
  'whole',
];
const PERCENTILE_FIELDS: readonly PercentileField[] = [
  'p50Ms',
  'p95Ms',
  'p99Ms',
];

function createRow(
  measure: string,
  direct: number,
  entry: number,
): ComparisonRow {
  const ratio = direct === 0 ? 0 : entry / direct;
  return {measure, direct, entry, ratio, difference: entry - direct};
}

function compareLatency(
  name: LatencyName,
  direct: LatencySummary,
  entry: LatencySummary,
): readonly ComparisonRow[] {
  return PERCENTILE_FIELDS.map(field =>
    createRow(`${name}.${field}`, direct[field], entry[field]),
  );
}

/**
 * Compares the report of a load sent directly to engines with that of the same
 * load sent through entries.
 *
 * @example
 * ```ts
 * compareReports(direct, entry)[0].ratio;
 * ```
 */
export function compareReports(
  direct: LoadReport,
  entry: LoadReport,
): readonly ComparisonRow[] {
  const latencies = LATENCY_NAMES.flatMap(name =>
    compareLatency(
      name,
      direct.measurement.latencies[name],
      entry.measurement.latencies[name],
    ),
  );
  return [
    createRow('okPerS', direct.okPerS, entry.okPerS),
    createRow('tokensPerS', direct.tokensPerS, entry.tokensPerS),
    ...latencies,
  ];
}

/** Formats a comparison as a table for the terminal. */
export function formatComparison(rows: readonly ComparisonRow[]): string {
  const cells = rows.map(row => [
    row.measure,
    formatNumber(row.direct),
    formatNumber(row.entry),
    row.ratio.toFixed(3),
    formatNumber(row.difference),
  ]);
  const header = ['measure', 'direct', 'entry', 'ratio', 'difference'];
  return `${formatTable([header, ...cells])}\n`;
}
