/** What the rating service takes and what there is to rate. */
export interface RatingBudgetInput {
  /** Ratings that the service accepts from all entries. */
  readonly budgetPerS: number;
  readonly candidateRequestsPerS: number;
  readonly otherRequestsPerS: number;
  /** Part of the budget that versions in roll-out may take; 0.5. */
  readonly focusShare?: number;
}

/** Part of the answers to send to the rating service. */
export interface RatingShares {
  readonly candidate: number;
  readonly other: number;
}

const DEFAULT_FOCUS_SHARE = 0.5;

/**
 * Splits a limited number of ratings between versions in roll-out, which need
 * evidence soon, and the rest.
 *
 * @example
 * ```ts
 * planRatingShares({
 *   budgetPerS: 1,
 *   candidateRequestsPerS: 1,
 *   otherRequestsPerS: 19,
 * }).candidate; // 0.5, against 0.05 in an even split
 * ```
 */
export function planRatingShares(input: RatingBudgetInput): RatingShares {
  const {budgetPerS, candidateRequestsPerS, otherRequestsPerS} = input;
  const focusShare = input.focusShare ?? DEFAULT_FOCUS_SHARE;
  // What the others cannot use is left to the candidate.
  const unused = Math.max(0, (1 - focusShare) * budgetPerS - otherRequestsPerS);
  const focus = focusShare * budgetPerS + unused;
  const candidate = resolveShare(focus, candidateRequestsPerS);
  const used = candidate * candidateRequestsPerS;
  return {candidate, other: resolveShare(budgetPerS - used, otherRequestsPerS)};
}

function resolveShare(budgetPerS: number, requestsPerS: number): number {
  return requestsPerS <= 0 ? 1 : Math.min(1, budgetPerS / requestsPerS);
}
