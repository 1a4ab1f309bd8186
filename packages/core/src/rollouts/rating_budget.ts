/** Capacity of the rating service and the request rates that compete for it. */
export interface RatingBudgetInput {
  /** Ratings per second that the service accepts from all entries together. */
  readonly budgetPerS: number;
  readonly candidateRequestsPerS: number;
  readonly otherRequestsPerS: number;
  /** Fraction of the budget reserved for versions in rollout. Default: 0.5. */
  readonly candidateBudgetShare?: number;
}

/** Fraction of the answers to send to the rating service. */
export interface RatingShares {
  readonly candidate: number;
  readonly other: number;
}

const DEFAULT_CANDIDATE_BUDGET_SHARE = 0.5;

/**
 * Splits a limited number of ratings between versions in rollout, which need
 * ratings quickly, and all other versions.
 *
 * @example
 * ```ts
 * planRatingShares({
 *   budgetPerS: 1,
 *   candidateRequestsPerS: 1,
 *   otherRequestsPerS: 19,
 * }).candidate; // 0.5; an even split would give 0.05
 * ```
 */
export function planRatingShares(input: RatingBudgetInput): RatingShares {
  const {budgetPerS, candidateRequestsPerS, otherRequestsPerS} = input;
  const candidateBudgetShare =
    input.candidateBudgetShare ?? DEFAULT_CANDIDATE_BUDGET_SHARE;
  // The candidate also gets the budget that the other versions cannot use.
  const unusedPerS = Math.max(
    0,
    (1 - candidateBudgetShare) * budgetPerS - otherRequestsPerS,
  );
  const candidateBudgetPerS = candidateBudgetShare * budgetPerS + unusedPerS;
  const candidate = resolveShare(candidateBudgetPerS, candidateRequestsPerS);
  const used = candidate * candidateRequestsPerS;
  return {candidate, other: resolveShare(budgetPerS - used, otherRequestsPerS)};
}

function resolveShare(budgetPerS: number, requestsPerS: number): number {
  return requestsPerS <= 0 ? 1 : Math.min(1, budgetPerS / requestsPerS);
}
