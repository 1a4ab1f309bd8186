import type {GoalResult, MetricSummary} from './experiment.js';

/** All results of one experiment. */
export interface Report {
  readonly name: string;
  readonly description: string;
  readonly seedCount: number;
  readonly spreads: readonly MetricSummary[];
  readonly goals: readonly GoalResult[];
}

const PLOT_WIDTH_PX = 720;
const LABEL_WIDTH_PX = 240;
const ROW_HEIGHT_PX = 18;
const VALUE_WIDTH_PX = 130;

/** Formats a number with four significant digits. */
export function formatNumber(value: number): string {
  if (value !== 0 && Math.abs(value) < 0.0001) return value.toExponential(2);
  return String(Number(value.toPrecision(4)));
}

function listUnique(values: readonly string[]): readonly string[] {
  return [...new Set(values)];
}

/** Formats one Markdown table per scenario, followed by the goals. */
export function formatTables(report: Report): string {
  const scenarios = listUnique(report.spreads.map(({scenario}) => scenario));
  const tables = scenarios.map(scenario => formatTable(report, scenario));
  const goals = report.goals.map(
    ({goal, measured, isMet}) =>
      `- ${isMet ? 'met' : 'MISSED'}: ${goal}; measured ${measured}`,
  );
  return [...tables, ...goals].join('\n');
}

function formatTable(report: Report, scenario: string): string {
  const summaries = report.spreads.filter(
    summary => summary.scenario === scenario,
  );
  const metrics = listUnique(summaries.map(({metric}) => metric));
  const rows = listUnique(summaries.map(({policy}) => policy)).map(policy => {
    const cells = metrics.map(metric => {
      const found = summaries.find(
        summary => summary.policy === policy && summary.metric === metric,
      );
      if (found === undefined) return '';
      return `${formatNumber(found.mean)} ± ${formatNumber(found.deviation)}`;
    });
    return `| ${[policy, ...cells].join(' | ')} |`;
  });
  const header = `| ${[scenario, ...metrics].join(' | ')} |`;
  const separator = `| ${['---', ...metrics.map(() => '---')].join(' | ')} |`;
  return [header, separator, ...rows, ''].join('\n');
}

/**
 * Formats an HTML page with one plot per scenario and metric. Bars show the mean,
 * lines the range from minimum to maximum.
 */
export function formatHtmlPage(report: Report): string {
  const keys = listUnique(
    report.spreads.map(({scenario, metric}) =>
      JSON.stringify([scenario, metric]),
    ),
  );
  const plots = keys.map(key => {
    const [scenario, metric] = JSON.parse(key) as readonly string[];
    const rows = report.spreads.filter(
      summary => summary.scenario === scenario && summary.metric === metric,
    );
    return `<h3>${scenario}: ${metric}</h3>${formatPlot(rows)}`;
  });
  const goals = report.goals.map(
    ({goal, measured, isMet}) =>
      `<li>${isMet ? 'met' : 'MISSED'}: ${goal}; measured ${measured}</li>`,
  );
  return `<!doctype html><meta charset="utf-8"><title>${report.name}</title>
<h1>${report.name}</h1><p>${report.description}; ${report.seedCount} seeds.</p>
<ul>${goals.join('')}</ul>${plots.join('\n')}
`;
}

function formatPlot(rows: readonly MetricSummary[]): string {
  const largest = Math.max(1e-12, ...rows.map(({max}) => Math.abs(max)));
  const scale = (PLOT_WIDTH_PX - LABEL_WIDTH_PX - VALUE_WIDTH_PX) / largest;
  const bars = rows.map((row, index) => {
    const y = index * ROW_HEIGHT_PX;
    const middle = y + ROW_HEIGHT_PX / 2;
    const toX = (value: number) => LABEL_WIDTH_PX + Math.max(0, value) * scale;
    const width = toX(row.mean) - LABEL_WIDTH_PX;
    return `<text x="0" y="${y + 13}" font-size="12">${row.policy}</text>
<rect x="${LABEL_WIDTH_PX}" y="${y + 3}" width="${width}" height="12" fill="#69c"/>
<line x1="${toX(row.min)}" x2="${toX(row.max)}" y1="${middle}" y2="${middle}" stroke="#000"/>
<text x="${toX(row.max) + 6}" y="${y + 13}" font-size="12">${formatNumber(row.mean)}</text>`;
  });
  const height = rows.length * ROW_HEIGHT_PX;
  return `<svg width="${PLOT_WIDTH_PX}" height="${height}">${bars.join('')}</svg>`;
}
