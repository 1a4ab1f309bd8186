export * from './billing_record.js';
export * from './billing_batch.js';
export * from './journal_state.js';
export * from './hand_off.js';
export * from './held_copies.js';
export * from './billing_totals.js';
export * from './billing_compaction.js';
