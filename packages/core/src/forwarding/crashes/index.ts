export * from './crash_suspects.js';
export * from './request_digest.js';
export * from './suspect_ids.js';
