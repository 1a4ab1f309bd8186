export * from './hash.js';
export * from './math.js';
export * from './random.js';
export * from './recent_ids.js';
export * from './socket_address.js';
export * from './byte_budget.js';
export * from './memory_budget.js';
