export * from './errors/error_codes.js';
export * from './errors/finding.js';
export * from './errors/router_error.js';
export * from './types/identity.js';
