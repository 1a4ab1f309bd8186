export * from './drain_admission.js';
export * from './model_escalation.js';
export * from './placement.js';
export * from './reach_notices.js';
export * from './relay_hosts.js';
export * from './relay_search.js';
export * from './windowed_retry_budget.js';
