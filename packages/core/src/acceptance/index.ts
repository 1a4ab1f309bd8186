export * from './decision.js';
export * from './entry_state.js';
export * from './head.js';
export * from './known_head.js';
export * from './peer_report.js';
export * from './proposal.js';
export * from './serving.js';
export * from './step.js';
