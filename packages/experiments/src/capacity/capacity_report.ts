import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {evaluateLine, fitLine, type LineFit} from './fit_line.js';

/** Measured values by name; a name ends in its unit. */
export type Row = Readonly<Record<string, number | string>>;

/** A line fitted to a column as a function of another column. */
export interface FittedColumn extends LineFit {
  readonly column: string;
  /** Column of the x values. */
  readonly over: string;
  /** Value of the line at `target`. */
  readonly atTarget: number;
  readonly target: number;
}

/** The measurements of a capacity command. */
export interface CapacityReport {
  readonly name: string;
  readonly seed: number;
  readonly rows: readonly Row[];
  readonly fits: readonly FittedColumn[];
}

/** Options of a capacity command. */
export interface CapacityOptions {
  readonly seed: number;
  /** Whether to run briefly and at the smallest size only. */
  readonly isSmall: boolean;
}

/** A command that measures the resource usage of one component. */
export interface CapacityCommand {
  readonly name: string;
  readonly description: string;
  readonly run: (options: CapacityOptions) => Promise<CapacityReport>;
}

/**
 * Fits a line to each of the given columns as a function of the column `over`
 * and extrapolates it to `target`. Returns nothing for fewer than two different
 * values of `over`.
 *
 * @example
 * ```ts
 * fitColumns(rows, 'members', ['bytesPerS'], 360);
 * ```
 */
export function fitColumns(
  rows: readonly Row[],
  over: string,
  columns: readonly string[],
  target: number,
): readonly FittedColumn[] {
  const distinct = new Set(rows.map(row => Number(row[over])));
  if (distinct.size < 2) return [];
  return columns.map(column => {
    const points = rows.map(row => ({
      x: Number(row[over]),
      y: Number(row[column]),
    }));
    const fit = fitLine(points);
    return {column, over, ...fit, target, atTarget: evaluateLine(fit, target)};
  });
}

/** Formats the rows and fits as Markdown tables. */
export function formatReport(report: CapacityReport): string {
  const tables = [formatTable(report.rows)];
  if (report.fits.length > 0) {
    const rows = report.fits.map(fit => ({
      column: fit.column,
      formula: `${round(fit.intercept)} + ${round(fit.slope)} * ${fit.over}`,
      residual: round(fit.residual),
      'at target': `${round(fit.atTarget)} (${fit.over} ${fit.target})`,
    }));
    tables.push(formatTable(rows));
  }
  return [`seed ${report.seed}`, ...tables].join('\n\n');
}

/** Writes `NAME.json` into the folder. */
export function writeCapacityReport(
  report: CapacityReport,
  folder: string,
): void {
  mkdirSync(folder, {recursive: true});
  const path = join(folder, `${report.name}.json`);
  writeFileSync(path, JSON.stringify(report, undefined, 2));
}

function formatTable(rows: readonly Row[]): string {
  const columns = [...new Set(rows.flatMap(row => Object.keys(row)))];
  const lines = rows.map(row =>
    columns.map(column => formatCell(row[column])).join(' | '),
  );
  const separator = columns.map(() => '---').join(' | ');
  return [columns.join(' | '), separator, ...lines]
    .map(line => `| ${line} |`)
    .join('\n');
}

function formatCell(value: number | string | undefined): string {
  if (value === undefined) return '';
  return typeof value === 'number' ? String(round(value)) : value;
}

function round(value: number): number {
  return Number(value.toPrecision(4));
}
