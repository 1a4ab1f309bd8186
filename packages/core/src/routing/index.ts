export * from './model_chooser.js';
export * from './model_option.js';
export * from './model_policies.js';
export * from './plan_table.js';
export * from './quality_model.js';
export * from './rollout_share.js';
export type {Estimate} from './score_estimates.js';
