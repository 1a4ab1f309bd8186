const PERCENT_DECIMALS = 6;

/**
 * Formats a share between 0 and 1 as a percentage without floating-point
 * rounding errors.
 *
 * @example
 * ```ts
 * formatPercent(0.07); // '7%'
 * ```
 */
export function formatPercent(share: number): string {
  return `${Number((share * 100).toFixed(PERCENT_DECIMALS))}%`;
}
