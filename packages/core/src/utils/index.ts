export * from './hash.js';
export * from './math.js';
export * from './random.js';
