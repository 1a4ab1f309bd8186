export * from './rollout_step.js';
export * from './rollout_step_protocol.js';
