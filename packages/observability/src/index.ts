export * from './logs/bounded_writer.js';
export * from './logs/key_value_line.js';
export * from './logs/logger.js';
export * from './metrics/metric_registry.js';
