export * from './probe_delay.js';
