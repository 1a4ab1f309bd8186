export * from './hedge_delay_estimator.js';
export * from './retry_budget.js';
export * from './retry_rules.js';
