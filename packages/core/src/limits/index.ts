export * from './organisation_limiter.js';
export * from './share_policies.js';
export * from './token_bucket.js';
