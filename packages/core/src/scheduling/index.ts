export * from './server_pace.js';
export * from './urgency.js';
