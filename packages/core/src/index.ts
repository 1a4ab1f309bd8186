export * from './errors/error_codes.js';
export * from './errors/finding.js';
export * from './errors/router_error.js';
export * from './types/identity.js';
export * from './rules/rule_set.js';
export * from './types/object_store.js';
export * from './membership/index.js';
export * from './acceptance/index.js';
