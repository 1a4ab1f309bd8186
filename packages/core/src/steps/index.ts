export * from './store_step.js';
export * from './retention.js';
