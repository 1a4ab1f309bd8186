import {RepeatBudget, type RepeatBudgetOptions} from '@anvilrudder/core';

/** Where the number of hosts that share the extra repeats comes from. */
export interface HostCount {
  readonly count: number;
  readonly isKnown: boolean;
}

/** Kept back, as a host that has just come may not be counted yet. */
const EXTRA_SAFETY_FACTOR = 0.7;

/** One budget of repeats for each service. */
export class RetryBudgets {
  private readonly budgets = new Map<string, RepeatBudget>();

  private constructor(
    private options: RepeatBudgetOptions,
    private readonly hosts: HostCount,
  ) {}

  /**
   * @param options of all hosts together.
   */
  static create(options: RepeatBudgetOptions, hosts: HostCount): RetryBudgets {
    return new RetryBudgets(options, hosts);
  }

  /** Changes the bounds of all hosts together. */
  configure(options: RepeatBudgetOptions): void {
    this.options = options;
    for (const budget of this.budgets.values()) budget.configure(options);
  }

  get(service: string): RepeatBudget {
    const known = this.budgets.get(service);
    const budget = known ?? RepeatBudget.create(this.options);
    budget.setExtra(this.computeExtraPerHost());
    this.budgets.set(service, budget);
    return budget;
  }

  private computeExtraPerHost(): number {
    const {count, isKnown} = this.hosts;
    return isKnown ? (EXTRA_SAFETY_FACTOR * this.options.extra) / count : 0;
  }
}
