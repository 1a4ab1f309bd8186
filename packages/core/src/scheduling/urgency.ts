import {clamp} from '../utils/math.js';

/** Properties of a request by which engines are told its urgency. */
export interface UrgencyInput {
  /** The caller has already received a part of the stream. */
  readonly isResumed: boolean;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Expected time of the prefill in milliseconds. */
  readonly workMs: number;
}

/** Returns the urgency of a request that is not resumed, from 1 to 9. */
type UrgencyRule = (priority: number, workMs: number) => number;

/** The least urgent class that engines support; 0 is the most urgent. */
const LEAST_URGENCY = 9;
/** Precedes all others, as the caller waits in the middle of its answer. */
const RESUMED_URGENCY = 0;
const BASE_URGENCY = 1;
/** Shorter prefills hardly delay other requests and are sent as more urgent. */
const SHORT_PREFILL_MS = 120;
const LENGTH_CLASS_COUNT = 2;

/**
 * Rules by which engines are told the urgency of requests. They matter while
 * requests wait at an engine, which admits the most urgent one first.
 *
 * - `byLength`: short prefills of the highest priority first, then long ones
 *   and short ones of all other priorities alike. Priorities below the highest
 *   one are not distinguished.
 * - `byPriority`: priorities in order, and short prefills before long ones of
 *   the same priority. Two classes for each priority are enough, because an
 *   engine whose memory is full preempts requests of less urgent classes and
 *   computes them again.
 */
export const URGENCY_POLICIES = {
  byLength: (priority, workMs) =>
    BASE_URGENCY + getLengthClass(workMs) + clamp(priority, 0, 1),
  byPriority: (priority, workMs) =>
    BASE_URGENCY +
    Math.floor(Math.max(0, priority)) * LENGTH_CLASS_COUNT +
    getLengthClass(workMs),
} as const satisfies Readonly<Record<string, UrgencyRule>>;

/** Name of a rule of {@link URGENCY_POLICIES}. */
export type UrgencyPolicy = keyof typeof URGENCY_POLICIES;

/**
 * Computes the urgency of a request, from 0 (most urgent) to 9.
 *
 * @example
 * ```ts
 * const input = {isResumed: false, priority: 2, workMs: 300};
 * computeUrgency('byPriority', input); // 6
 * ```
 */
export function computeUrgency(
  policy: UrgencyPolicy,
  {isResumed, priority, workMs}: UrgencyInput,
): number {
  if (isResumed) return RESUMED_URGENCY;
  const urgency = URGENCY_POLICIES[policy](priority, workMs);
  return clamp(urgency, BASE_URGENCY, LEAST_URGENCY);
}

function getLengthClass(workMs: number): number {
  return workMs < SHORT_PREFILL_MS ? 0 : 1;
}
