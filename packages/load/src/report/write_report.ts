import {mkdir, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import type {LatencySummary} from '../measure/latency_recorder.js';
import type {LoadReport} from '../run/run_load.js';
import {createSvgPlot, type PlotLine, type PlotTick} from './svg_plot.js';

/** A report and its name in `report.json` and in the legends of plots. */
export interface NamedReport {
  readonly name: string;
  readonly report: LoadReport;
}

/** Latencies that are compared and plotted. */
export type LatencyName = 'firstToken' | 'betweenTokens' | 'whole';

const LATENCY_NAMES: readonly LatencyName[] = [
  'firstToken',
  'betweenTokens',
  'whole',
];

const TICK_PERCENTILES: readonly number[] = [0, 50, 90, 99, 99.9, 99.99];

/**
 * Converts a percentile to its number of nines: 90 to 1, 99 to 2, 99.9 to 3. On
 * this logarithmic x axis the tail of the distribution stays readable.
 */
function countNines(percentile: number): number {
  return -Math.log10(1 - percentile / 100);
}

function createPercentileTicks(): readonly PlotTick[] {
  return TICK_PERCENTILES.map(percentile => ({
    value: countNines(percentile),
    label: String(percentile),
  }));
}

function createPercentileCurve(
  name: string,
  summary: LatencySummary,
): PlotLine {
  const points = summary.curve
    .filter(({percentile}) => percentile < 100)
    .map(({percentile, latencyMs}) => ({
      x: countNines(percentile),
      y: latencyMs,
    }));
  return {name, points};
}

function createLatencyPlot(
  reports: readonly NamedReport[],
  latency: LatencyName,
): string {
  return createSvgPlot({
    title: `Latency: ${latency}`,
    xLabel: 'percentile',
    yLabel: 'ms',
    xTicks: createPercentileTicks(),
    lines: reports.map(({name, report}) =>
      createPercentileCurve(name, report.measurement.latencies[latency]),
    ),
  });
}

function createTimelinePlot(reports: readonly NamedReport[]): string {
  const lines = reports.flatMap(({name, report}) => {
    const {timeline} = report.measurement;
    const line = (field: 'sent' | 'ok'): PlotLine => ({
      name: `${name} ${field}`,
      points: timeline.map(point => ({x: point.second, y: point[field]})),
    });
    return [line('sent'), line('ok')];
  });
  return createSvgPlot({
    title: 'Requests per second',
    xLabel: 'intended send time (s)',
    yLabel: 'requests',
    lines,
  });
}

function createVersionPlot(reports: readonly NamedReport[]): string {
  const lines = reports.flatMap(({name, report}) => {
    const {timeline, byModelVersion} = report.measurement;
    return Object.keys(byModelVersion).map(version => ({
      name: `${name} ${version}`,
      points: timeline.map(point => ({
        x: point.second,
        y: point.byModelVersion[version] ?? 0,
      })),
    }));
  });
  return createSvgPlot({
    title: 'Responses per second by model version',
    xLabel: 'intended send time (s)',
    yLabel: 'responses',
    lines,
  });
}

/**
 * Writes `report.json` and the plots of one or more reports to a directory,
 * which is created if needed.
 *
 * @example
 * ```ts
 * await writeReports('reports/load', [{name: 'entry', report}]);
 * ```
 */
export async function writeReports(
  directory: string,
  reports: readonly NamedReport[],
): Promise<void> {
  await mkdir(directory, {recursive: true});
  const json = Object.fromEntries(
    reports.map(({name, report}) => [name, report]),
  );
  const text = `${JSON.stringify(json, undefined, 2)}\n`;
  await writeFile(join(directory, 'report.json'), text);
  for (const latency of LATENCY_NAMES) {
    const plot = createLatencyPlot(reports, latency);
    await writeFile(join(directory, `${latency}.svg`), plot);
  }
  const timeline = createTimelinePlot(reports);
  await writeFile(join(directory, 'timeline.svg'), timeline);
  const versions = createVersionPlot(reports);
  await writeFile(join(directory, 'versions.svg'), versions);
}
