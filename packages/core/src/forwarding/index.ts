export * from './crashes/index.js';
export * from './exchange_types.js';
export * from './placement/index.js';
export * from './responses/index.js';
export * from './rollouts/index.js';
export * from './routing_table.js';
export * from './servers/index.js';
