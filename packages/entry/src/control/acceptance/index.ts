export * from './create_rules_manager.js';
export * from './rules_manager_options.js';
