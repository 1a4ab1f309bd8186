export type {AnswerCounters, DurationCounts} from './answer_counters.js';
export * from './held_sessions.js';
export * from './pooled_answers.js';
export * from './rollout_plan.js';
export * from './session_versions.js';
export * from './slow_answer.js';
export * from './version_evidence.js';
