/**
 * Limits a value to a range.
 *
 * @example
 * ```ts
 * clamp(1.2, 0, 1); // 1
 * ```
 */
export function clamp(value: number, low: number, high: number): number {
  return Math.min(high, Math.max(low, value));
}

/**
 * Returns the value below which the given part of a sorted list lies.
 *
 * @returns 0 for an empty list.
 * @example
 * ```ts
 * computeQuantile([1, 2, 3, 4], 0.5); // 3
 * ```
 */
export function computeQuantile(
  sorted: readonly number[],
  quantile: number,
): number {
  if (sorted.length === 0) return 0;
  const index = Math.floor(quantile * sorted.length);
  return sorted[Math.min(sorted.length - 1, index)];
}
