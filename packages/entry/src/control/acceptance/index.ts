export * from './create_rules_keeper.js';
export * from './keeper_options.js';
