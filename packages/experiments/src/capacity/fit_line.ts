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
 * @throws Error when the points have fewer than two different `x`.
 * @example
 * ```ts
 * fitLine([{x: 1, y: 3}, {x: 2, y: 5}]).slope; // 2
 * ```
 */
export function fitLine(points: readonly Point[]): LineFit {
  const meanX = mean(points.map(({x}) => x));
  const meanY = mean(points.map(({y}) => y));
  const sumOfSquaresX = sum(points.map(({x}) => (x - meanX) ** 2));
  if (!(sumOfSquaresX > 0)) throw new Error('A fit needs two different x.');
  const slope =
    sum(points.map(({x, y}) => (x - meanX) * (y - meanY))) / sumOfSquaresX;
  const intercept = meanY - slope * meanX;
  const squaredResiduals = points.map(
    ({x, y}) => (y - intercept - slope * x) ** 2,
  );
  return {slope, intercept, residual: Math.sqrt(mean(squaredResiduals))};
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

function mean(values: readonly number[]): number {
  return sum(values) / Math.max(1, values.length);
}
