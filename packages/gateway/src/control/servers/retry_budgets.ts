import {
  WindowedRetryBudget,
  type WindowedRetryBudgetOptions,
} from '@anvilrudder/core';

/** Source of the number of hosts that share the extra retries. */
export interface HostCount {
  readonly count: number;
  readonly hasHostList: boolean;
}

/**
 * Share of the extra retries that is used. The rest is reserved, because hosts
 * that have just started may not be counted yet.
 */
const EXTRA_SAFETY_FACTOR = 0.7;

/** Retry budgets, one per service; `repeats` in the settings. */
export class RetryBudgets {
  private readonly budgets = new Map<string, WindowedRetryBudget>();

  private constructor(
    private options: WindowedRetryBudgetOptions,
    private readonly hosts: HostCount,
  ) {}

  /**
   * @param options limits for all hosts together.
   */
  static create(
    options: WindowedRetryBudgetOptions,
    hosts: HostCount,
  ): RetryBudgets {
    return new RetryBudgets(options, hosts);
  }

  /** Changes the limits for all hosts together. */
  configure(options: WindowedRetryBudgetOptions): void {
    this.options = options;
    for (const budget of this.budgets.values()) budget.configure(options);
  }

  get(service: string): WindowedRetryBudget {
    const known = this.budgets.get(service);
    const budget = known ?? WindowedRetryBudget.create(this.options);
    budget.setExtra(this.computeExtraPerHost());
    this.budgets.set(service, budget);
    return budget;
  }

  private computeExtraPerHost(): number {
    const {count, hasHostList} = this.hosts;
    return hasHostList ? (EXTRA_SAFETY_FACTOR * this.options.extra) / count : 0;
  }
}
