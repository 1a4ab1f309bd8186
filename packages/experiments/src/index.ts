export * from './harness/experiment.js';
export * from './harness/run_experiment.js';
export * from './registry.js';
