export * from './admission_controller.js';
export * from './concurrency_limit.js';
export * from './priority_queue.js';
