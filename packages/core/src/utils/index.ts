export * from './hash.js';
export * from './math.js';
export * from './random.js';
export * from './byte_budget.js';
