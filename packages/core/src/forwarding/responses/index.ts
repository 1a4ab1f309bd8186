export * from './attempt_outcome.js';
export * from './classify_response.js';
export * from './not_run_claim.js';
export * from './response_end.js';
export * from './stream_progress.js';
export * from './stream_resumption.js';
