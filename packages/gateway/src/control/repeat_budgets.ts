import {RepeatBudget, type RepeatBudgetOptions} from '@anvilrudder/core';

/** One budget of repeats for each service. */
export class RepeatBudgets {
  private readonly budgets = new Map<string, RepeatBudget>();

  private constructor(private readonly options: RepeatBudgetOptions) {}

  static create(options: RepeatBudgetOptions): RepeatBudgets {
    return new RepeatBudgets(options);
  }

  of(service: string): RepeatBudget {
    const known = this.budgets.get(service);
    if (known !== undefined) return known;
    const budget = RepeatBudget.create(this.options);
    this.budgets.set(service, budget);
    return budget;
  }
}
