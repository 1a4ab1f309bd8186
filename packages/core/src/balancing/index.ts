export * from './backend_balancer.js';
export * from './balancing_policies.js';
export * from './ejection.js';
export * from './server_state.js';
export * from './version_pool.js';
