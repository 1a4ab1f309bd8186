export * from './claim.js';
export * from './claim_protocol.js';
export * from './claim_collection.js';
