import {
  WindowedRetryBudget,
  type WindowedRetryBudgetOptions,
} from '@anvilrudder/core';

/** Where the number of hosts that share the extra repeats comes from. */
export interface HostCount {
  readonly count: number;
  readonly isKnown: boolean;
}

/** Kept back, as a host that has just come may not be counted yet. */
const SHARED_PART = 0.7;

/** One budget of repeats for each service. */
export class RepeatBudgets {
  private readonly budgets = new Map<string, WindowedRetryBudget>();

  private constructor(
    private options: WindowedRetryBudgetOptions,
    private readonly hosts: HostCount,
  ) {}

  /**
   * @param options of all hosts together.
   */
  static create(
    options: WindowedRetryBudgetOptions,
    hosts: HostCount,
  ): RepeatBudgets {
    return new RepeatBudgets(options, hosts);
  }

  /** Changes the bounds of all hosts together. */
  configure(options: WindowedRetryBudgetOptions): void {
    this.options = options;
    for (const budget of this.budgets.values()) budget.configure(options);
  }

  of(service: string): WindowedRetryBudget {
    const known = this.budgets.get(service);
    const budget = known ?? WindowedRetryBudget.create(this.options);
    budget.setExtra(this.resolveExtra());
    this.budgets.set(service, budget);
    return budget;
  }

  private resolveExtra(): number {
    const {count, isKnown} = this.hosts;
    return isKnown ? (SHARED_PART * this.options.extra) / count : 0;
  }
}
