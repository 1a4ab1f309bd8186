/** One line of a plot. */
export interface PlotLine {
  readonly name: string;
  readonly points: ReadonlyArray<{readonly x: number; readonly y: number}>;
}

/** Labels and lines of a plot. */
export interface PlotOptions {
  readonly title: string;
  readonly xLabel: string;
  readonly yLabel: string;
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
  const maxOf = (values: readonly number[]) =>
    values.reduce((max, value) => Math.max(max, value), 0) || 1;
  const xMax = maxOf(points.map(point => point.x));
  const yMax = maxOf(points.map(point => point.y));
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
  const at = `x="${x.toFixed(1)}" y="${y.toFixed(1)}"`;
  return `<text ${at} text-anchor="${anchor}">${escapeText(text)}</text>`;
}

function createTicks(scale: Scale): readonly string[] {
  const bottom = HEIGHT - MARGIN.bottom;
  return Array.from({length: TICK_COUNT + 1}, (_, i) => i / TICK_COUNT).flatMap(
    share => {
      const x = scale.x(share * scale.xMax);
      const y = scale.y(share * scale.yMax);
      const right = WIDTH - MARGIN.right;
      const xLabel = Number((share * scale.xMax).toPrecision(3));
      const yLabel = Number((share * scale.yMax).toPrecision(3));
      return [
        `<line x1="${MARGIN.left}" y1="${y}" x2="${right}" y2="${y}" stroke="#ddd"/>`,
        createText(x, bottom + 18, String(xLabel), 'middle'),
        createText(MARGIN.left - 8, y + 4, String(yLabel), 'end'),
      ];
    },
  );
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
 * Draws lines as an SVG document.
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
  const middleX = (MARGIN.left + WIDTH - MARGIN.right) / 2;
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}" font-family="sans-serif" font-size="12">`,
    '<rect width="100%" height="100%" fill="white"/>',
    createText(middleX, 22, title, 'middle'),
    ...createTicks(scale),
    ...lines.flatMap((line, index) => createLine(line, index, scale)),
    createText(middleX, HEIGHT - 12, xLabel, 'middle'),
    createText(MARGIN.left, MARGIN.top - 8, yLabel, 'middle'),
    '</svg>',
    '',
  ].join('\n');
}
