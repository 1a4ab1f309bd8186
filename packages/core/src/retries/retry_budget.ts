/** Policy for the number of further attempts, that is, retries and hedges. */
export interface BudgetPolicy {
  /** Further attempts allowed for each first attempt. */
  readonly ratio: (options: RetryBudgetOptions) => number;
}

/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Default: `budget`. */
  readonly policy: BudgetPolicyName;
  /** Further attempts allowed for each first attempt. Default: 0.1. */
  readonly ratio: number;
  /** Further attempts per second that are always allowed. Default: 1. */
  readonly minPerS: number;
  /** Maximum number of unused further attempts that accumulate. Default: 20. */
  readonly maxSaved: number;
  /** Number of further attempts available at the start. Default: 0. */
  readonly initialSaved: number;
}

/** Budget policies, by the name used in settings. */
export const BUDGET_POLICIES = {
  none: {ratio: () => 0},
  budget: {ratio: ({ratio}) => ratio},
  unlimited: {ratio: () => Infinity},
} as const satisfies Record<string, BudgetPolicy>;

export type BudgetPolicyName = keyof typeof BUDGET_POLICIES;

const DEFAULTS: RetryBudgetOptions = {
  policy: 'budget',
  ratio: 0.1,
  minPerS: 1,
  maxSaved: 20,
  initialSaved: 0,
};
const MS_PER_S = 1000;

/**
 * Limits further attempts to a fraction of the first attempts, so that retries
 * increase the load by at most that fraction when every attempt fails.
 */
export class RetryBudget {
  private saved: number;
  private refilledMs: number | undefined;

  private constructor(private readonly options: RetryBudgetOptions) {
    this.saved = options.initialSaved;
  }

  /**
   * Creates a budget.
   *
   * @example
   * ```ts
   * const budget = RetryBudget.create({ratio: 0.1});
   * ```
   */
  static create(options: Partial<RetryBudgetOptions> = {}): RetryBudget {
    return new RetryBudget({...DEFAULTS, ...options});
  }

  /** Records a first attempt, which adds to the budget. */
  recordFirstAttempt(nowMs: number): void {
    this.refill(nowMs);
    const {policy} = this.options;
    this.save(BUDGET_POLICIES[policy].ratio(this.options));
  }

  /**
   * Takes one further attempt, a retry or a hedge, from the budget; returns
   * false if the budget is exhausted.
   */
  tryTake(nowMs: number): boolean {
    const {policy} = this.options;
    if (policy === 'unlimited') return true;
    if (policy === 'none') return false;
    this.refill(nowMs);
    if (this.saved < 1) return false;
    this.saved -= 1;
    return true;
  }

  private refill(nowMs: number): void {
    const sinceMs = nowMs - (this.refilledMs ?? nowMs);
    this.refilledMs = nowMs;
    this.save((sinceMs / MS_PER_S) * this.options.minPerS);
  }

  private save(count: number): void {
    this.saved = Math.min(this.options.maxSaved, this.saved + count);
  }
}
