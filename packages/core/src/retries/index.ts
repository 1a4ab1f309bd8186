export * from './hedge_timer.js';
export * from './retry_budget.js';
export * from './retry_rules.js';
