export * from './errors/error_codes.js';
export * from './errors/finding.js';
export * from './errors/router_error.js';
export * from './sessions/index.js';
export * from './types/identity.js';
export * from './rules/index.js';
export * from './types/object_store.js';
