import type {LatencySummary} from '../measure/latency_recorder.js';
import type {CountTable} from '../measure/load_recorder.js';
import type {LoadReport} from '../run/run_load.js';

const COLUMN_SEPARATOR = '  ';

/**
 * Formats a number: integers without decimals, other numbers with three
 * decimals below 10 and one decimal from 10 on.
 */
export function formatNumber(value: number): string {
  if (Number.isInteger(value)) return String(value);
  return value.toFixed(value < 10 ? 3 : 1);
}

/** Formats rows as a table: the first column left-aligned, others right. */
export function formatTable(rows: ReadonlyArray<readonly string[]>): string {
  const widths = rows[0].map((_, column) =>
    Math.max(...rows.map(row => row[column].length)),
  );
  return rows
    .map(row =>
      row
        .map((cell, column) =>
          column === 0
            ? cell.padEnd(widths[column])
            : cell.padStart(widths[column]),
        )
        .join(COLUMN_SEPARATOR),
    )
    .join('\n');
}

function createLatencyRow(
  name: string,
  summary: LatencySummary,
): readonly string[] {
  const {count, p50Ms, p90Ms, p95Ms, p99Ms, p999Ms, maxMs} = summary;
  const values = [count, p50Ms, p90Ms, p95Ms, p99Ms, p999Ms, maxMs];
  return [name, ...values.map(formatNumber)];
}

function formatCounts(title: string, counts: CountTable): string {
  const items = Object.entries(counts).map(([name, n]) => `${name}=${n}`);
  return `${title}: ${items.join(' ') || 'none'}`;
}

function formatBookingCheck(report: LoadReport): readonly string[] {
  const check = report.bookingCheck;
  if (check === undefined) return [];
  const {checked, repeated, ranThoughNotRun, missing} = check;
  return [
    `bookings: checked=${checked} repeated=${repeated.length} ` +
      `ranThoughNotRun=${ranThoughNotRun.length} missing=${missing.length}`,
  ];
}

/**
 * Formats a report as text for the terminal.
 *
 * @example
 * ```ts
 * process.stdout.write(formatReport(report));
 * ```
 */
export function formatReport(report: LoadReport): string {
  const {measurement, options} = report;
  const {latencies} = measurement;
  const header = ['ms', 'count', 'p50', 'p90', 'p95', 'p99', 'p99.9', 'max'];
  const lines = [
    `seed=${options.seed} sent=${measurement.sent} ok=${measurement.ok} ` +
      `skipped=${measurement.skipped} tokens=${measurement.tokens}`,
    `requestsPerS=${formatNumber(report.requestsPerS)} ` +
      `okPerS=${formatNumber(report.okPerS)} ` +
      `tokensPerS=${formatNumber(report.tokensPerS)} ` +
      `cpuShare=${report.cpuShare.toFixed(3)}`,
    formatCounts('codes', measurement.byCode),
    formatCounts('execution', measurement.byExecution),
    formatCounts('versions', measurement.byModelVersion),
    formatCounts('verdicts', measurement.byVerdict),
    ...measurement.faultyRequests,
    ...formatBookingCheck(report),
    '',
    formatTable([
      header,
      createLatencyRow('first token', latencies.firstToken),
      createLatencyRow('between tokens', latencies.betweenTokens),
      createLatencyRow('whole answer', latencies.whole),
      createLatencyRow('confirmation', latencies.confirmation),
      createLatencyRow('send lag', latencies.sendLag),
    ]),
  ];
  return `${lines.join('\n')}\n`;
}
