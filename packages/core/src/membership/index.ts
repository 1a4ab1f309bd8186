export * from './member.js';
export * from './membership_plan.js';
