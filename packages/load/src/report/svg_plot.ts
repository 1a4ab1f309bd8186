/** One line of a plot and its name in the legend. */
export interface PlotLine {
  readonly name: string;
  readonly points: ReadonlyArray<{readonly x: number; readonly y: number}>;
}

/** A labelled value on an axis. */
export interface PlotTick {
  readonly value: number;
  readonly label: string;
}

/** Labels and lines of a plot. */
export interface PlotOptions {
  readonly title: string;
  readonly xLabel: string;
  readonly yLabel: string;
  /** Default: evenly spaced ticks. */
  readonly xTicks?: readonly PlotTick[];
  readonly lines: readonly PlotLine[];
}

const WIDTH = 720;
const HEIGHT = 400;
const MARGIN = {top: 40, right: 160, bottom: 50, left: 70};
const TICK_COUNT = 5;
const COLORS: readonly string[] = [
  '#1f77b4',
  '#d62728',
  '#2ca02c',
  '#9467bd',
  '#ff7f0e',
  '#8c564b',
];

/** Maps values to SVG coordinates. */
interface Scale {
  readonly xMax: number;
  readonly yMax: number;
  x(value: number): number;
  y(value: number): number;
}

function escapeText(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('"', '&quot;');
}

function createScale(lines: readonly PlotLine[]): Scale {
  const points = lines.flatMap(line => line.points);
  const maxOrOne = (values: readonly number[]) =>
    values.reduce((max, value) => Math.max(max, value), 0) || 1;
  const xMax = maxOrOne(points.map(point => point.x));
  const yMax = maxOrOne(points.map(point => point.y));
  const plotWidth = WIDTH - MARGIN.left - MARGIN.right;
  const plotHeight = HEIGHT - MARGIN.top - MARGIN.bottom;
  return {
    xMax,
    yMax,
    x: value => MARGIN.left + (value / xMax) * plotWidth,
    y: value => HEIGHT - MARGIN.bottom - (value / yMax) * plotHeight,
  };
}

function createText(
  x: number,
  y: number,
  text: string,
  anchor: 'start' | 'middle' | 'end',
): string {
  const coordinates = `x="${x.toFixed(1)}" y="${y.toFixed(1)}"`;
  return `<text ${coordinates} text-anchor="${anchor}">${escapeText(text)}</text>`;
}

function createEvenTicks(max: number): readonly PlotTick[] {
  return Array.from({length: TICK_COUNT + 1}, (_, index) => {
    const value = (index / TICK_COUNT) * max;
    return {value, label: String(Number(value.toPrecision(3)))};
  });
}

function createXTick(tick: PlotTick, scale: Scale): string {
  const y = HEIGHT - MARGIN.bottom + 18;
  return createText(scale.x(tick.value), y, tick.label, 'middle');
}

function createYTick(tick: PlotTick, scale: Scale): readonly string[] {
  const y = scale.y(tick.value);
  const right = WIDTH - MARGIN.right;
  const lineY = y.toFixed(1);
  return [
    `<line x1="${MARGIN.left}" y1="${lineY}" x2="${right}" y2="${lineY}" stroke="#ddd"/>`,
    createText(MARGIN.left - 8, y + 4, tick.label, 'end'),
  ];
}

function createLine(
  line: PlotLine,
  index: number,
  scale: Scale,
): readonly string[] {
  const color = COLORS[index % COLORS.length];
  const points = line.points
    .map(({x, y}) => `${scale.x(x).toFixed(1)},${scale.y(y).toFixed(1)}`)
    .join(' ');
  const legendX = WIDTH - MARGIN.right + 12;
  const legendY = MARGIN.top + 16 * (index + 1);
  return [
    `<polyline fill="none" stroke="${color}" stroke-width="1.5" points="${points}"/>`,
    `<rect x="${legendX}" y="${legendY - 9}" width="10" height="10" fill="${color}"/>`,
    createText(legendX + 16, legendY, line.name, 'start'),
  ];
}

/**
 * Creates a line plot as an SVG document.
 *
 * @example
 * ```ts
 * createSvgPlot({
 *   title: 'Latency',
 *   xLabel: 'percentile',
 *   yLabel: 'ms',
 *   lines: [{name: 'whole', points: [{x: 50, y: 3}]}],
 * });
 * ```
 */
export function createSvgPlot(options: PlotOptions): string {
  const {title, xLabel, yLabel, lines} = options;
  const scale = createScale(lines);
  const xTicks = options.xTicks ?? createEvenTicks(scale.xMax);
  const middleX = (MARGIN.left + WIDTH - MARGIN.right) / 2;
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}" font-family="sans-serif" font-size="12">`,
    '<rect width="100%" height="100%" fill="white"/>',
    createText(middleX, 22, title, 'middle'),
    ...xTicks.map(tick => createXTick(tick, scale)),
    ...createEvenTicks(scale.yMax).flatMap(tick => createYTick(tick, scale)),
    ...lines.flatMap((line, index) => createLine(line, index, scale)),
    createText(middleX, HEIGHT - 12, xLabel, 'middle'),
    createText(MARGIN.left, MARGIN.top - 8, yLabel, 'middle'),
    '</svg>',
    '',
  ].join('\n');
}
