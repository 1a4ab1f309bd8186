/** How many further attempts an entry may make. */
export interface BudgetPolicy {
  readonly ratio: (options: RetryBudgetOptions) => number;
}

/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** `budget`. */
  readonly policy: BudgetPolicyName;
  /** Further attempts for each first attempt; 0.1. */
  readonly ratio: number;
  /** Further attempts a second that are always allowed; 1. */
  readonly minPerS: number;
  /** Further attempts that may be saved up; 20. */
  readonly maxSaved: number;
  /** Further attempts saved at the start; 0. */
  readonly initialSaved: number;
}

/** The policies that settings can name. */
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
 * Bounds further attempts to a share of first attempts, so that retries add
 * at most that share to the load when every attempt fails.
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

  /** Counts a first attempt. */
  recordFirstAttempt(nowMs: number): void {
    this.refill(nowMs);
    const {policy} = this.options;
    this.save(BUDGET_POLICIES[policy].ratio(this.options));
  }

  /** Takes one further attempt, a retry or a hedge, from the budget. */
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
