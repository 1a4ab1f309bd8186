/** One measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A line fitted by least squares. */
export interface LineFit {
  readonly slope: number;
  readonly intercept: number;
  /** Root mean square of the residuals. */
  readonly residual: number;
}

/**
 * Fits `y = intercept + slope * x` by least squares.
 *
 * @throws Error with fewer than two different `x`.
 * @example
 * ```ts
 * fitLine([{x: 1, y: 3}, {x: 2, y: 5}]).slope; // 2
 * ```
 */
export function fitLine(points: readonly Point[]): LineFit {
  const meanX = average(points.map(({x}) => x));
  const meanY = average(points.map(({y}) => y));
  const spread = sum(points.map(({x}) => (x - meanX) ** 2));
  if (!(spread > 0)) throw new Error('A line needs two different x.');
  const slope = sum(points.map(({x, y}) => (x - meanX) * (y - meanY))) / spread;
  const intercept = meanY - slope * meanX;
  const squares = points.map(({x, y}) => (y - intercept - slope * x) ** 2);
  return {slope, intercept, residual: Math.sqrt(average(squares))};
}

/**
 * Evaluates a fitted line.
 *
 * @example
 * ```ts
 * evaluateLine({slope: 2, intercept: 1, residual: 0}, 360); // 721
 * ```
 */
export function evaluateLine(fit: LineFit, x: number): number {
  return fit.intercept + fit.slope * x;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function average(values: readonly number[]): number {
  return sum(values) / Math.max(1, values.length);
}
