export * from './lease.js';
export * from './lease_protocol.js';
