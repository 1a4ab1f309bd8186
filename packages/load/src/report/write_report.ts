import {mkdir, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import type {LatencySummary} from '../measure/latency_recorder.js';
import type {LoadReport} from '../run/run_load.js';
import {createSvgPlot, type PlotLine, type PlotTick} from './svg_plot.js';

/** A report and the name of its lines in plots. */
export interface NamedReport {
  readonly name: string;
  readonly report: LoadReport;
}

/** Latencies that a plot can show. */
export type LatencyName = 'firstToken' | 'betweenTokens' | 'whole';

const LATENCY_NAMES: readonly LatencyName[] = [
  'firstToken',
  'betweenTokens',
  'whole',
];

const TICK_PERCENTILES: readonly number[] = [0, 50, 90, 99, 99.9, 99.99];

/** Places 90, 99, 99.9 … at equal distances, so that the tail can be read. */
function toNines(percentile: number): number {
  return -Math.log10(1 - percentile / 100);
}

function createPercentileTicks(): readonly PlotTick[] {
  return TICK_PERCENTILES.map(percentile => ({
    at: toNines(percentile),
    label: String(percentile),
  }));
}

function createCurve(name: string, summary: LatencySummary): PlotLine {
  const points = summary.curve
    .filter(({percentile}) => percentile < 100)
    .map(({percentile, latencyMs}) => ({
      x: toNines(percentile),
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
      createCurve(name, report.measurement.latencies[latency]),
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
    title: 'Requests a second',
    xLabel: 'second of the intended send time',
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
    title: 'Answers a second by model version',
    xLabel: 'second of the intended send time',
    yLabel: 'answers',
    lines,
  });
}

/**
 * Writes `report.json` and the plots of one or more reports to a folder.
 *
 * @example
 * ```ts
 * await writeReports('reports/load', [{name: 'entry', report}]);
 * ```
 */
export async function writeReports(
  folder: string,
  reports: readonly NamedReport[],
): Promise<void> {
  await mkdir(folder, {recursive: true});
  const json = Object.fromEntries(
    reports.map(({name, report}) => [name, report]),
  );
  const text = `${JSON.stringify(json, undefined, 2)}\n`;
  await writeFile(join(folder, 'report.json'), text);
  for (const latency of LATENCY_NAMES) {
    const plot = createLatencyPlot(reports, latency);
    await writeFile(join(folder, `${latency}.svg`), plot);
  }
  const timeline = createTimelinePlot(reports);
  await writeFile(join(folder, 'timeline.svg'), timeline);
  const versions = createVersionPlot(reports);
  await writeFile(join(folder, 'versions.svg'), versions);
}
