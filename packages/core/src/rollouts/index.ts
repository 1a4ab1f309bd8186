export * from './counters.js';
export * from './evidence_codec.js';
export * from './evidence_table.js';
export * from './rating_budget.js';
export * from './rollout_monitor.js';
export * from './rollout_policies.js';
export * from './rulings.js';
export * from './sequential_test.js';
